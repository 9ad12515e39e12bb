package org.teaseldeal.bench.fault;

import java.time.Duration;
import java.util.Locale;

/**
 * The kinds of fault that can be injected into a simulated fleet. Faults that have a duration are
 * reverted when it is over.
 */
public enum FaultKind {
  LOG_DOWN {
    @Override
    void inject(FaultRun run, FaultStep step) {
      run.applyForDuration(step, () -> run.log().down = true, () -> run.log().down = false);
    }
  },
  LOG_SLOW {
    @Override
    void inject(FaultRun run, FaultStep step) {
      Duration usual = Duration.ofMillis(2);
      Duration slow = Duration.ofMillis(50 + step.targetIndex() % 650);
      run.applyForDuration(
          step, () -> run.log().oneWayDelay = slow, () -> run.log().oneWayDelay = usual);
    }
  },
  LOST_ANSWERS {
    @Override
    void inject(FaultRun run, FaultStep step) {
      run.applyForDuration(
          step, () -> run.log().losesResponses = true, () -> run.log().losesResponses = false);
    }
  },
  FREEZE {
    @Override
    void inject(FaultRun run, FaultStep step) {
      var instance = run.instance(step.targetIndex());
      run.applyForDuration(step, instance::suspend, instance::resume);
    }
  },
  PARTITION {
    @Override
    void inject(FaultRun run, FaultStep step) {
      run.partition(step);
    }
  },
  KILL {
    @Override
    void inject(FaultRun run, FaultStep step) {
      run.kill(step.targetIndex());
    }
  },
  DRAIN {
    @Override
    void inject(FaultRun run, FaultStep step) {
      run.drain(step.targetIndex());
    }
  },
  RETIRE_FROZEN {
    @Override
    void inject(FaultRun run, FaultStep step) {
      run.retireWhileSuspended(step);
    }
  },
  SERVER_CRASH {
    @Override
    void inject(FaultRun run, FaultStep step) {
      var server = run.server(step.targetIndex());
      run.applyForDuration(step, server::crash, () -> server.down = false);
    }
  },
  SILENT_SERVER {
    @Override
    void inject(FaultRun run, FaultStep step) {
      var server = run.server(step.targetIndex());
      run.applyForDuration(step, () -> server.silent = true, () -> server.silent = false);
    }
  },
  FORGOTTEN_CONNECTIONS {
    @Override
    void inject(FaultRun run, FaultStep step) {
      run.server(step.targetIndex()).forgetConnections();
    }
  },
  REFUSING_SERVER {
    @Override
    void inject(FaultRun run, FaultStep step) {
      var server = run.server(step.targetIndex());
      run.applyForDuration(
          step, () -> server.refusesRequests = true, () -> server.refusesRequests = false);
    }
  },
  LEAVING_SERVER {
    @Override
    void inject(FaultRun run, FaultStep step) {
      run.beginServerRemoval(step.targetIndex());
    }
  },
  STALE_LIST {
    @Override
    void inject(FaultRun run, FaultStep step) {
      run.freezePlatformList(step);
    }
  },
  CRASHING_REQUEST {
    @Override
    void inject(FaultRun run, FaultStep step) {
      run.sendCrashingRequest(step);
    }
  },
  TOP_UP {
    @Override
    void inject(FaultRun run, FaultStep step) {
      run.topUp(step.targetIndex());
    }
  },
  OPERATOR_RACE {
    @Override
    void inject(FaultRun run, FaultStep step) {
      run.publishConcurrently();
    }
  };

  abstract void inject(FaultRun run, FaultStep step);

  /** Returns the name that is used on the command line and in histories. */
  public String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
