package shorecrank;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption.DoNotIncludeTests;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Checks the layering of the packages: no package depends on one in a higher layer. */
class ArchitectureTest {
  /**
   * The layers, one package each, from the lowest to the highest. docs/architecture.md describes
   * the packages.
   */
  private static final List<String> LAYERS =
      List.of(
          "shorecrank.protocol",
          "shorecrank.config",
          "shorecrank.storage",
          "shorecrank.leadership",
          "shorecrank.rollout",
          "shorecrank.rebalance",
          "shorecrank.coordination.step",
          "shorecrank.coordination.model",
          "shorecrank.coordination.scheduling",
          "shorecrank.coordination.shard",
          "shorecrank.coordination.leader",
          "shorecrank.coordination.request",
          "shorecrank.coordination",
          "shorecrank.transport",
          "shorecrank.client",
          "shorecrank.daemon");

  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(new DoNotIncludeTests())
          .importPackages("shorecrank");

  /** Returns the parameters of {@link #dependsOnNoHigherLayer}. */
  static List<String> layers() {
    return LAYERS;
  }

  @ParameterizedTest
  @MethodSource("layers")
  void dependsOnNoHigherLayer(String layer) {
    List<String> higherLayers = LAYERS.subList(LAYERS.indexOf(layer) + 1, LAYERS.size());
    if (higherLayers.isEmpty()) {
      return;
    }
    noClasses()
        .that()
        .resideInAPackage(layer)
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(higherLayers.toArray(String[]::new))
        .check(CLASSES);
  }

  @Test
  void everyPackageHasALayer() {
    Set<String> packages = new TreeSet<>();
    for (JavaClass type : CLASSES) {
      packages.add(type.getPackageName());
    }
    assertEquals(new TreeSet<>(LAYERS), packages);
  }
}
