/*
 * Validates the fleet document, and the consistency of contracts with it and with each other.
 *
 * Inconsistencies between documents are warnings and never cause a refusal. Otherwise the order of publication would
 * block an operator who publishes a contract before the model that it refers to, or moves a credential from one
 * contract to another, and routers that received the documents in a different order would reach different results.
 */
package org.primrosesill.contract

import arrow.core.Either
import arrow.core.NonEmptyList
import kotlinx.serialization.json.JsonObject
import org.primrosesill.generated.Contract
import org.primrosesill.generated.FleetDocument
import org.primrosesill.generated.PoolKind
import org.primrosesill.model.CustomerId

/** Validates the fleet document and the consistency between documents. */
public object FleetValidator {
    /** Returns the fleet document in [body], or all errors in it. */
    public fun validate(body: JsonObject): Either<NonEmptyList<DocumentError>, FleetDocument> =
        validateAndDecode(body, fleetRule, FleetDocument.serializer()) { fleet, errors ->
            val zones = fleet.availabilityZones
            if (!fleet.allowAllZonesOut && zones.all { it.outOfService }) {
                errors.add(DocumentError.AllZonesOut(zones.size))
            }
        }

    /** Returns a warning for each pool that [contract] refers to and [fleet] does not define. */
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

    /** Returns a warning for each credential that an earlier one of [contracts] also contains. */
    public fun sharedCredentials(contracts: Iterable<Contract>): List<DocumentError.SharedCredential> {
        val owners = HashMap<String, CustomerId>()
        return contracts.flatMap { contract ->
            contract.credentialHashes.withIndex().mapNotNull { (index, hash) ->
                owners.putIfAbsent(hash, contract.customer)?.takeIf { it != contract.customer }?.let { holder ->
                    DocumentError.SharedCredential(contract.customer, holder, "/credentialHashes/$index")
                }
            }
        }
    }
}
