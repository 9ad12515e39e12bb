package org.teaseldeal.bench;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.bench.load.LoadResult;
import org.teaseldeal.bench.report.HtmlReport;
import org.teaseldeal.cli.Command;
import org.teaseldeal.cli.CommandException;
import org.teaseldeal.cli.ExitStatus;

@Parameters(commandDescription = "Render an HTML page of one result or of several side by side")
final class ReportCommand extends Command {
  @Parameter(description = "RESULT.json ...", required = true)
  private List<Path> results = new ArrayList<>();

  @Parameter(names = "--out", required = true, description = "File for the page")
  private @Nullable Path out;

  @Override
  protected ExitStatus run(PrintStream console, PrintStream err) throws CommandException {
    List<LoadResult> loaded = new ArrayList<>();
    for (Path result : results) {
      loaded.add(BenchFiles.result(result));
    }
    Path page = CommandArguments.required(out, "--out");
    BenchFiles.write(page, HtmlReport.of(loaded));
    console.println("wrote " + page);
    return ExitStatus.OK;
  }
}
