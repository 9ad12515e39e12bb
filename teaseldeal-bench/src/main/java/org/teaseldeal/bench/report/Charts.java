package org.teaseldeal.bench.report;

import java.awt.Color;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.internal.chartpart.Chart;
import org.knowm.xchart.style.Styler.LegendPosition;
import org.knowm.xchart.style.markers.SeriesMarkers;
import org.teaseldeal.bench.load.LoadResult;

/** Draws the plots of a report as PNG images in data URLs. */
final class Charts {
  private static final int WIDTH = 760;
  private static final int HEIGHT = 300;

  private Charts() {}

  /** Plots the outcomes of the requests that were due in each second. */
  static String outcomesOverTime(LoadResult result) {
    XYChart chart = timeChart("requests a second: " + result.label(), "requests");
    addLine(chart, "due", result, LoadResult.Second::sent);
    addLine(chart, "answered in time", result, LoadResult.Second::inTime);
    addLine(chart, "late", result, LoadResult.Second::late);
    addLine(chart, "refused", result, LoadResult.Second::refused);
    addLine(chart, "failed or broken", result, LoadResult.Second::other);
    return dataUrl(chart);
  }

  /** Plots the 95th percentile of the time to the first frame of each result. */
  static String firstFrameOverTime(List<LoadResult> results) {
    XYChart chart = timeChart("time to first frame, p95", "ms");
    results.forEach(
        result -> addLine(chart, result.label(), result, LoadResult.Second::toFirstP95));
    return dataUrl(chart);
  }

  /** Plots the share of each customer's requests that were answered in time, for each result. */
  static String inTimeByCustomer(List<LoadResult> results) {
    CategoryChart chart =
        new CategoryChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title("answered in time, by customer")
            .yAxisTitle("% of sent")
            .build();
    chart.getStyler().setLegendPosition(LegendPosition.OutsideE);
    chart.getStyler().setXAxisLabelRotation(30);
    chart.getStyler().setYAxisMin(0.0);
    chart.getStyler().setYAxisMax(100.0);
    for (LoadResult result : results) {
      List<String> names = new ArrayList<>(result.byCustomer().keySet());
      List<Double> shares =
          result.byCustomer().values().stream().map(part -> 100 * part.inTimeShare()).toList();
      chart.addSeries(result.label(), names, shares);
    }
    return dataUrl(chart);
  }

  private static XYChart timeChart(String title, String unit) {
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title(title)
            .xAxisTitle("seconds since the start")
            .yAxisTitle(unit)
            .build();
    chart.getStyler().setLegendPosition(LegendPosition.OutsideE);
    chart.getStyler().setYAxisMin(0.0);
    return chart;
  }

  private static void addLine(
      XYChart chart, String name, LoadResult result, ToDoubleFunction<LoadResult.Second> value) {
    double[] seconds = result.perSecond().stream().mapToDouble(LoadResult.Second::second).toArray();
    double[] values = result.perSecond().stream().mapToDouble(value).toArray();
    if (seconds.length > 0) {
      chart.addSeries(name, seconds, values).setMarker(SeriesMarkers.NONE);
    }
  }

  private static String dataUrl(Chart<?, ?> chart) {
    chart.getStyler().setChartBackgroundColor(Color.WHITE);
    try {
      byte[] png = BitmapEncoder.getBitmapBytes(chart, BitmapFormat.PNG);
      return "data:image/png;base64," + Base64.getEncoder().encodeToString(png);
    } catch (IOException e) {
      throw new UncheckedIOException("could not draw " + chart.getTitle(), e);
    }
  }
}
