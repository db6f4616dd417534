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

  void taskAdded(String image) {
    tasksByImage.addTo(image, 1);
  }

  void taskRemoved(String image) {
    if (tasksByImage.addTo(image, -1) <= 1) {
      tasksByImage.removeInt(image);
    }
  }

  /** A task with this image runs, so the machine holds it; others may have been evicted for it. */
  void store(JobSpec spec, MachineType type) {
    images.putAndMoveToLast(spec.image(), spec.imageGb());
    double sum = 0;
    for (double gb : images.values()) {
      sum += gb;
    }
    while (type != null && sum > type.cacheGb() && images.size() > 1) {
      sum -= images.removeFirstDouble();
    }
  }

  void clear() {
    images.clear();
  }

  boolean holdsOrFetches(String image) {
    return images.containsKey(image) || tasksByImage.containsKey(image);
  }

  /** Seconds until the image is there, if a task that needs it is started now. */
  double fetchSeconds(JobSpec spec, MachineType type) {
    if (images.containsKey(spec.image())) {
      return 0;
    }
    double all = fullFetchSeconds(spec, type);
    return tasksByImage.containsKey(spec.image()) ? all / 2 : all;
  }

  /** Seconds that a fetch takes from its beginning. */
  static double fullFetchSeconds(JobSpec spec, MachineType type) {
    return spec.imageGb() / Math.max(LEAST_FETCH_GB_PER_S, type.fetchGbPerS());
  }
}
