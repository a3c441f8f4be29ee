package org.honeyjunction

import com.tngtech.archunit.core.domain.JavaClass
import com.tngtech.archunit.core.importer.ClassFileImporter
import com.tngtech.archunit.core.importer.ImportOption
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

/** Checks which packages may depend on which; docs/design.md has the same table. */
class ArchitectureTest {
    private fun JavaClass.usedPackages() =
        directDependenciesFromSelf
            .map { it.targetClass.baseComponentType.packageName }
            .filter {
                it.isNotEmpty() &&
                    it != packageName
            }.toSet()

    @ParameterizedTest(name = "{0} imports {1}")
    @CsvSource(
        "core.lease, '',                                         java.util java.lang kotlin",
        "core.failures,    '',                                         java.util java.lang kotlin",
        "core.boot,     '',                                         java.util java.lang kotlin org.HdrHistogram",
        "core.fairness,   '',                                         java.util java.lang kotlin",
        "core.results,  '',                                         java.util java.lang kotlin",
        "core.admission, '',                                        java.util java.lang kotlin",
        "core.batching,    '',                                         java.util java.lang kotlin",
        "core.model,    'core.lease core.boot',                  java.util java.lang kotlin org.agrona",
        "core.rules,    'core.model',                               java.util java.lang java.math kotlin",
        "core,          'core',                                     java.util java.lang java.math kotlin org.agrona org.HdrHistogram",
        "wire,          'wire core',                                java kotlin okio com.fasterxml.jackson",
        "io,            'io wire',                                  java kotlin kotlinx.coroutines okio com.fasterxml.jackson org.slf4j",
        "timeline,      '',                                         java.time java.lang java.util kotlin",
        "rules,         'rules core.rules core.model wire',         java kotlin okio com.fasterxml.jackson com.networknt org.antlr",
        "nomad.hcl,     'nomad wire',                               java.util java.lang kotlin org.antlr",
        "nomad.registry,'nomad core.model core.rules wire',         java.util java.lang java.math kotlin okio com.fasterxml.jackson",
        "nomad,         'nomad core.model core.rules wire',         java.util java.lang java.math java.time kotlin okio " +
            "com.fasterxml.jackson com.networknt com.google.re2j com.cronutils org.antlr",
        "fake,       'fake core wire io',                     java kotlin kotlinx.coroutines com.fasterxml.jackson",
        "simulation,      'simulation core fake io',                 java kotlin kotlinx.coroutines",
        "app,           'app core wire io rules nomad fake simulation timeline', java kotlin kotlinx.coroutines okio " +
            "com.fasterxml.jackson com.networknt org.slf4j picocli",
    )
    fun `a package depends only on the packages listed for it in this test`(part: String, own: String, others: String) {
        val partClasses = classes.filter { it.packageName.startsWith("$ROOT.$part") }
        assertTrue(partClasses.isNotEmpty(), "no classes in $part")
        val ownParts = (own.split(' ').filter { it.isNotBlank() } + part).map { "$ROOT.$it" }
        val allowed = ownParts + others.split(' ') + "org.jetbrains.annotations"
        val violations =
            partClasses.flatMap { c ->
                c.usedPackages().filter { u -> allowed.none { u == it || u.startsWith("$it.") } }.map { "${c.name} -> $it" }
            }
        assertEquals(emptyList<String>(), violations.sorted())
    }

    @ParameterizedTest
    @CsvSource("java.io", "java.nio", "java.net")
    fun `the core does no input or output`(forbidden: String) {
        // Code that the Kotlin compiler generates or inlines refers to Serializable.
        val allowedTypes = setOf("java.io.Serializable")
        val violations =
            classes
                .filter { it.packageName.startsWith("$ROOT.core") }
                .flatMap { user ->
                    user.directDependenciesFromSelf
                        .map { it.targetClass.name }
                        .filter {
                            it.startsWith("$forbidden.") &&
                                it !in allowedTypes
                        }.map { "${user.name} -> $it" }
                }
        assertEquals(emptyList<String>(), violations)
    }

    private companion object {
        const val ROOT = "org.honeyjunction"
        val classes: List<JavaClass> = ClassFileImporter().withImportOption(ImportOption.DoNotIncludeTests()).importPackages(ROOT).toList()
    }
}
