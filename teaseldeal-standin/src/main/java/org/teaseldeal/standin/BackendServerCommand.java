package org.teaseldeal.standin;

import com.beust.jcommander.Parameter;
import org.jspecify.annotations.Nullable;

/** The options of the stand-ins that register with the platform as backend servers. */
abstract class BackendServerCommand extends StandinCommand {
  @Parameter(
      names = "--platform",
      description = "Address (host:port) of the platform to register with")
  @Nullable String platform;

  @Parameter(names = "--id", description = "Id in the platform's instance list")
  @Nullable String id;

  @Parameter(names = "--pool", description = "Pool that the server belongs to")
  @Nullable String pool;

  @Parameter(names = "--data-centre", description = "Data centre of the server")
  @Nullable String dataCentre;
}
