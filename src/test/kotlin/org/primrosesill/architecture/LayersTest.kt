/*
 * The layers of the packages, as defined on the design page, and the dependencies that are allowed between them.
 */
package org.primrosesill.architecture

import com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage
import com.tngtech.archunit.core.importer.ClassFileImporter
import com.tngtech.archunit.core.importer.ImportOption
import com.tngtech.archunit.library.Architectures.layeredArchitecture
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices
import org.junit.jupiter.api.Test

class LayersTest {
    private val classes =
        ClassFileImporter().withImportOption(ImportOption.DoNotIncludeTests()).importPackages("org.primrosesill")

    // Guards against decision logic that depends on HTTP or on the wiring of a process.
    @Test
    fun `packages depend only on lower layers`() {
        layeredArchitecture()
            .consideringOnlyDependenciesInLayers()
            .withOptionalLayers(true)
            .layer("entry")
            .definedBy("org.primrosesill", "org.primrosesill.command..")
            .layer("processes")
            .definedBy(*packages("router", "gateway", "standin", "experiment"))
            .layer("adapters")
            .definedBy(*packages("http", "transport", "platform"))
            .layer("requests")
            .definedBy(*packages("request", "forwarding"))
            .layer("decisions")
            .definedBy(*packages(*DECISIONS))
            .layer("events")
            .definedBy(*packages("event"))
            .layer("data")
            .definedBy(*packages("model", "generated"))
            .whereLayer("entry")
            .mayNotBeAccessedByAnyLayer()
            .whereLayer("processes")
            .mayOnlyBeAccessedByLayers("entry")
            .whereLayer("adapters")
            .mayOnlyBeAccessedByLayers("entry", "processes")
            .whereLayer("requests")
            .mayOnlyBeAccessedByLayers("entry", "processes", "adapters")
            .whereLayer("decisions")
            .mayOnlyBeAccessedByLayers("entry", "processes", "adapters", "requests")
            .check(classes)
    }

    // Guards against packages that depend on each other, so that neither can be understood or changed alone.
    @Test
    fun `packages have no cyclic dependencies`() {
        slices()
            .matching("org.primrosesill.(*)..")
            .should()
            .beFreeOfCycles()
            .ignoreDependency(resideInAPackage("..generated"), resideInAPackage("..model"))
            .ignoreDependency(resideInAPackage("..model"), resideInAPackage("..generated"))
            .check(classes)
    }

    private fun packages(vararg names: String): Array<String> = names.map { "org.primrosesill.$it.." }.toTypedArray()

    private companion object {
        val DECISIONS =
            arrayOf(
                "membership",
                "exchange",
                "configuration",
                "contract",
                "limit",
                "admission",
                "routing",
                "claim",
                "answer",
                "route",
                "discovery",
                "load",
                "placement",
            )
    }
}
