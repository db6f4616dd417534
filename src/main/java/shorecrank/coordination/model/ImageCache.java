package shorecrank.coordination.model;

import it.unimi.dsi.fastutil.objects.Object2DoubleLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import shorecrank.protocol.CloudMessages.MachineType;
import shorecrank.protocol.JobSpec;

/**
 * An estimate of which container images a machine holds or is fetching. It is derived from the
 * tasks that were started on the machine, since heartbeats do not list images.
 */
final class ImageCache {
  /** Lower bound on a machine type's fetch rate; keeps estimated fetch times finite. */
  private static final double MIN_FETCH_GB_PER_S = 0.01;

  /** Sizes in gigabytes by image, the most recently used image last. */
  private final Object2DoubleLinkedOpenHashMap<String> images =
      new Object2DoubleLinkedOpenHashMap<>();

  /** How many tasks on the machine use each image; the first of them fetches it for the others. */
  private final Object2IntOpenHashMap<String> tasksByImage = new Object2IntOpenHashMap<>();

  /** Adds a task placed on the machine, which then fetches the image if it does not hold it. */
  void addTask(String image) {
    tasksByImage.addTo(image, 1);
  }

  /** Removes a task that has left the machine from the number of tasks that use the image. */
  void removeTask(String image) {
    if (tasksByImage.addTo(image, -1) <= 1) {
      tasksByImage.removeInt(image);
    }
  }

  /**
   * Records that the machine holds the image of a job, because a task of the job runs there. Drops
   * the least recently used images that no longer fit into the machine type's image cache.
   *
   * @param type the machine's type; null if it is not known, then nothing is dropped
   */
  void store(JobSpec spec, MachineType type) {
    images.putAndMoveToLast(spec.image(), spec.imageGb());
    double sumGb = 0;
    for (double gb : images.values()) {
      sumGb += gb;
    }
    while (type != null && sumGb > type.cacheGb() && images.size() > 1) {
      sumGb -= images.removeFirstDouble();
    }
  }

  /** Removes all images held, because a new incarnation of the worker starts without any. */
  void clear() {
    images.clear();
  }

  /** Reports whether the machine holds the image or is fetching it. */
  boolean holdsOrFetches(String image) {
    return images.containsKey(image) || tasksByImage.containsKey(image);
  }

  /** Returns the estimated seconds until the machine holds the image if a task starts now. */
  double fetchSeconds(JobSpec spec, MachineType type) {
    if (images.containsKey(spec.image())) {
      return 0;
    }
    double full = fullFetchSeconds(spec, type);
    // A fetch in progress is half done on average.
    return tasksByImage.containsKey(spec.image()) ? full / 2 : full;
  }

  /** Returns the estimated seconds that a complete fetch of the image takes. */
  static double fullFetchSeconds(JobSpec spec, MachineType type) {
    return spec.imageGb() / Math.max(MIN_FETCH_GB_PER_S, type.fetchGbPerS());
  }
}
