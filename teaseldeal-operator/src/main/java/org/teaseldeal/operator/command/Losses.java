package org.teaseldeal.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.cli.ExitStatus;
import org.teaseldeal.operator.losses.LossCounter;
import org.teaseldeal.operator.losses.LossDimension;
import org.teaseldeal.operator.losses.LossPlot;
import org.teaseldeal.operator.losses.LossReport;
import org.teaseldeal.operator.losses.OwedRequests;
import org.teaseldeal.operator.report.CommandResult;

/** Counts from the logs of instances why requests weren't answered in time. */
@Parameters(
    commandNames = "losses",
    commandDescription = "Count from the logs of instances why requests were not answered in time")
public final class Losses implements Command {
  @Parameter(description = "FILE|DIRECTORY|-...")
  private List<String> sources = new ArrayList<>();

  @Parameter(
      names = "--by",
      description = "Columns: kind, customer, second, data_centre or instance")
  private LossDimension by = LossDimension.KIND;

  @Parameter(
      names = "--owed",
      description =
          "JSON file with the number and the worth of the requests owed an answer, by kind")
  private @Nullable String owed;

  @Parameter(
      names = "--against",
      description = "Log file or directory of an earlier run to compare with")
  private @Nullable String against;

  @Parameter(names = "--plot", description = "SVG file for a plot of the worth lost in each second")
  private @Nullable String plot;

  @ParametersDelegate private final CommonOptions common = new CommonOptions();

  @Override
  public CommandResult run(CommandContext context) {
    if (sources.isEmpty()) {
      throw new ParameterException("no logs were named, expected FILE, DIRECTORY or -");
    }
    try {
      OwedRequests owedRequests = owed == null ? OwedRequests.UNKNOWN : OwedRequests.read(owed);
      LossReport report = LossCounter.of(sources, System.in, owedRequests, by);
      if (report.lines() == 0) {
        return CommandResult.failed(
            ExitStatus.WRONG_COMMAND_LINE, "%s contains no event".formatted(sources));
      }
      if (plot != null) {
        LossPlot.write(report, plot);
      }
      if (against == null) {
        return CommandResult.ok(report);
      }
      LossReport before = LossCounter.of(List.of(against), System.in, owedRequests, by);
      return CommandResult.ok(report.against(before));
    } catch (IOException e) {
      return CommandResult.failed(ExitStatus.WRONG_FILE, String.valueOf(e.getMessage()));
    }
  }

  @Override
  public CommonOptions common() {
    return common;
  }
}
