package org.teaseldeal.operator.losses;

import java.awt.Color;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries.XYSeriesRenderStyle;
import org.knowm.xchart.style.Styler.LegendPosition;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Plots the worth that was lost in each second, by cause. */
public final class LossPlot {
  private static final int WIDTH_PIXELS = 900;
  private static final int HEIGHT_PIXELS = 420;

  /** The largest number of causes in a plot; more lines can't be told apart. */
  private static final int MAX_CAUSES = 8;

  private LossPlot() {}

  /**
   * Writes the plot as SVG.
   *
   * @throws IOException if the file can't be written
   */
  public static void write(LossReport report, String file) throws IOException {
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH_PIXELS)
            .height(HEIGHT_PIXELS)
            .title("worth lost by cause")
            .xAxisTitle("seconds since the start of the load")
            .yAxisTitle("worth a second")
            .build();
    chart.getStyler().setChartBackgroundColor(Color.WHITE);
    chart.getStyler().setLegendPosition(LegendPosition.OutsideE);
    chart.getStyler().setDefaultSeriesRenderStyle(XYSeriesRenderStyle.Line);
    chart.getStyler().setYAxisMin(0.0);
    for (LossReport.Row row : report.rows().stream().limit(MAX_CAUSES).toList()) {
      if (!row.bySecond().isEmpty()) {
        add(chart, row);
      }
    }
    VectorGraphicsEncoder.saveVectorGraphic(chart, file, VectorGraphicsFormat.SVG);
  }

  private static void add(XYChart chart, LossReport.Row row) {
    List<Integer> seconds = new ArrayList<>(row.bySecond().keySet());
    List<Integer> x = new ArrayList<>();
    List<Double> y = new ArrayList<>();
    for (int second = seconds.getFirst(); second <= seconds.getLast(); second++) {
      x.add(second);
      y.add(row.bySecond().getOrDefault(second, 0.0));
    }
    chart.addSeries(row.cause(), x, y).setMarker(SeriesMarkers.NONE);
  }
}
