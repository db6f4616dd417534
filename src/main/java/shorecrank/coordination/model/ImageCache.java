package shorecrank.coordination.model;

import it.unimi.dsi.fastutil.objects.Object2DoubleLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import shorecrank.protocol.CloudMessages.MachineType;
import shorecrank.protocol.JobSpec;

/** The images that a machine should hold or fetches now, by what was started there. */
final class ImageCache {
  /** The least fetch rate that is believed, in gigabytes per second. */
  private static final double LEAST_FETCH_GB_PER_S = 0.01;

  /** Images by size in gigabytes, the most lately used last. */
  private final Object2DoubleLinkedOpenHashMap<String> images =
      new Object2DoubleLinkedOpenHashMap<>();

  /** Tasks on the machine by their image: one of them fetches it for all. */
  private final Object2IntOpenHashMap<String> tasksByImage = new Object2IntOpenHashMap<>();

  /** A task with this image is placed on the machine, which fetches it if it is not there. */
  void taskAdded(String image) {
    tasksByImage.addTo(image, 1);
  }

  /** A task with this image is off the machine. */
  void taskRemoved(String image) {
    if (tasksByImage.addTo(image, -1) <= 1) {
      tasksByImage.removeInt(image);
    }
  }

  /** A task with this image runs, so the machine holds it; others may have been evicted for it. */
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

  /** The worker has begun anew, without images. */
  void clear() {
    images.clear();
  }

  /** Whether the image is there or on its way. */
  boolean holdsOrFetches(String image) {
    return images.containsKey(image) || tasksByImage.containsKey(image);
  }

  /** Seconds until the image is there, if a task that needs it is started now. */
  double fetchSeconds(JobSpec spec, MachineType type) {
    if (images.containsKey(spec.image())) {
      return 0;
    }
    double full = fullFetchSeconds(spec, type);
    // A fetch that is under way has done half of it on average.
    return tasksByImage.containsKey(spec.image()) ? full / 2 : full;
  }

  /** Seconds that a fetch takes from its beginning. */
  static double fullFetchSeconds(JobSpec spec, MachineType type) {
    return spec.imageGb() / Math.max(LEAST_FETCH_GB_PER_S, type.fetchGbPerS());
  }
}
