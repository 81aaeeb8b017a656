/*
 * Checks the fleet document, and what contracts and the fleet document say about each other.
 *
 * Relations between documents are warnings and never refuse a document: otherwise an operator who publishes a contract
 * before the model it names, or moves a credential from one contract to another, would be blocked by the order, and
 * routers that saw the documents in another order would come to another verdict.
 */
package org.primrosesill.contract

import arrow.core.Either
import arrow.core.NonEmptyList
import kotlinx.serialization.json.JsonObject
import org.primrosesill.generated.Contract
import org.primrosesill.generated.FleetDocument
import org.primrosesill.generated.PoolKind
import org.primrosesill.model.CustomerId

/** Checks the fleet document and relations between documents. */
public object FleetChecks {
    /** Returns the fleet document of [body], or every fault in it. */
    public fun check(body: JsonObject): Either<NonEmptyList<DocumentError>, FleetDocument> =
        decode(body, fleetRule, FleetDocument.serializer()) { fleet, errors ->
            val zones = fleet.availabilityZones
            if (!fleet.allowAllZonesOut &&
                zones.all { it.outOfService }
            ) {
                errors.add(DocumentError.AllZonesOut(zones.size))
            }
        }

    /** Returns the pools that [contract] names and [fleet] does not have. They are warnings. */
    public fun unknownPools(contract: Contract, fleet: FleetDocument): List<DocumentError.UnknownPool> {
        val models = fleet.pools.filter { it.kind == PoolKind.CHAT }.mapTo(HashSet()) { it.id }
        val services = fleet.pools.filter { it.kind == PoolKind.SERVICE }.mapTo(HashSet()) { it.id }
        val unknownModels =
            contract.models.withIndex().filter { it.value !in models }.map { (index, model) ->
                DocumentError.UnknownPool(contract.customer, model, "/models/$index")
            }
        val unknownServices =
            contract.services.withIndex().filter { it.value.service !in services }.map { (index, permission) ->
                DocumentError.UnknownPool(contract.customer, permission.service, "/services/$index/service")
            }
        return unknownModels + unknownServices
    }

    /** Returns every credential that an earlier one of [contracts] holds too. */
    public fun sharedCredentials(contracts: Iterable<Contract>): List<DocumentError.SharedCredential> {
        val holders = HashMap<String, CustomerId>()
        return contracts.flatMap { contract ->
            contract.credentialHashes.withIndex().mapNotNull { (index, hash) ->
                holders.putIfAbsent(hash, contract.customer)?.takeIf { it != contract.customer }?.let { holder ->
                    DocumentError.SharedCredential(contract.customer, holder, "/credentialHashes/$index")
                }
            }
        }
    }
}
