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

/** The order of the packages: none depends on one above it. */
class ArchitectureTest {
  /** From the lowest to the highest; docs/architecture.md says what each holds. */
  private static final List<String> FLOORS =
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

  /** The floors, each once. */
  static List<String> floors() {
    return FLOORS;
  }

  @ParameterizedTest
  @MethodSource("floors")
  void dependsOnNoFloorAbove(String floor) {
    List<String> above = FLOORS.subList(FLOORS.indexOf(floor) + 1, FLOORS.size());
    if (above.isEmpty()) {
      return;
    }
    noClasses()
        .that()
        .resideInAPackage(floor)
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(above.toArray(String[]::new))
        .check(CLASSES);
  }

  @Test
  void everyPackageHasAFloor() {
    Set<String> packages = new TreeSet<>();
    for (JavaClass type : CLASSES) {
      packages.add(type.getPackageName());
    }
    assertEquals(new TreeSet<>(FLOORS), packages);
  }
}
