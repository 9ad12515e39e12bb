package org.teaseldeal.bench.slope;

import java.util.List;
import org.teaseldeal.api.Preconditions;

/**
 * The growth of a measured figure with a size, fitted to measurements at several sizes.
 *
 * @param figure the name and the unit of the measured figure
 * @param per the name of the things that the size counts
 * @param slope the growth of the figure per unit of size, by least squares
 * @param intercept the figure at size zero, by least squares
 * @param least the smallest growth between two neighbouring sizes
 * @param most the largest growth between two neighbouring sizes
 */
public record Slope(
    String figure,
    String per,
    double slope,
    double intercept,
    double least,
    double most,
    List<Point> points) {
  public Slope {
    points = List.copyOf(points);
  }

  /** A measurement at one size. */
  public record Point(double size, double value) {}

  /** Fits a line to at least two points, which are ordered by size. */
  static Slope fit(String figure, String per, List<Point> points) {
    Preconditions.require(
        points.size() > 1, "points were %d, expected 2 or more".formatted(points.size()));
    double meanSize = points.stream().mapToDouble(Point::size).average().orElseThrow();
    double meanValue = points.stream().mapToDouble(Point::value).average().orElseThrow();
    double products = 0;
    double squares = 0;
    for (Point point : points) {
      products += (point.size - meanSize) * (point.value - meanValue);
      squares += (point.size - meanSize) * (point.size - meanSize);
    }
    double slope = products / squares;
    double least = Double.POSITIVE_INFINITY;
    double most = Double.NEGATIVE_INFINITY;
    for (int i = 1; i < points.size(); i++) {
      Point before = points.get(i - 1);
      Point point = points.get(i);
      double growth = (point.value - before.value) / (point.size - before.size);
      least = Math.min(least, growth);
      most = Math.max(most, growth);
    }
    return new Slope(figure, per, slope, meanValue - slope * meanSize, least, most, points);
  }
}
