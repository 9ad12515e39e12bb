package org.teaseldeal.bench.fault;

import java.time.Duration;
import java.util.Locale;

/** The faults of the brief, each as a change of a fleet that is undone when its time is over. */
public enum FaultKind {
  LOG_DOWN {
    @Override
    void strike(FaultRun run, FaultStep step) {
      run.during(step, () -> run.log().down = true, () -> run.log().down = false);
    }
  },
  LOG_SLOW {
    @Override
    void strike(FaultRun run, FaultStep step) {
      Duration usual = Duration.ofMillis(2);
      Duration slow = Duration.ofMillis(50 + step.pick() % 650);
      run.during(step, () -> run.log().oneWayDelay = slow, () -> run.log().oneWayDelay = usual);
    }
  },
  LOST_ANSWERS {
    @Override
    void strike(FaultRun run, FaultStep step) {
      run.during(
          step, () -> run.log().losesResponses = true, () -> run.log().losesResponses = false);
    }
  },
  FREEZE {
    @Override
    void strike(FaultRun run, FaultStep step) {
      var instance = run.instance(step.pick());
      run.during(step, instance::suspend, instance::resume);
    }
  },
  PARTITION {
    @Override
    void strike(FaultRun run, FaultStep step) {
      run.partition(step);
    }
  },
  KILL {
    @Override
    void strike(FaultRun run, FaultStep step) {
      run.kill(step.pick());
    }
  },
  DRAIN {
    @Override
    void strike(FaultRun run, FaultStep step) {
      run.drain(step.pick());
    }
  },
  RETIRE_FROZEN {
    @Override
    void strike(FaultRun run, FaultStep step) {
      run.retireFrozen(step);
    }
  },
  SERVER_CRASH {
    @Override
    void strike(FaultRun run, FaultStep step) {
      var server = run.server(step.pick());
      run.during(step, server::crash, () -> server.down = false);
    }
  },
  SILENT_SERVER {
    @Override
    void strike(FaultRun run, FaultStep step) {
      var server = run.server(step.pick());
      run.during(step, () -> server.silent = true, () -> server.silent = false);
    }
  },
  FORGOTTEN_CONNECTIONS {
    @Override
    void strike(FaultRun run, FaultStep step) {
      run.server(step.pick()).forgetConnections();
    }
  },
  REFUSING_SERVER {
    @Override
    void strike(FaultRun run, FaultStep step) {
      var server = run.server(step.pick());
      run.during(step, () -> server.refusesRequests = true, () -> server.refusesRequests = false);
    }
  },
  LEAVING_SERVER {
    @Override
    void strike(FaultRun run, FaultStep step) {
      run.leave(step.pick());
    }
  },
  STALE_LIST {
    @Override
    void strike(FaultRun run, FaultStep step) {
      run.staleList(step);
    }
  },
  CRASHING_REQUEST {
    @Override
    void strike(FaultRun run, FaultStep step) {
      run.crashingRequest(step);
    }
  },
  TOP_UP {
    @Override
    void strike(FaultRun run, FaultStep step) {
      run.topUp(step.pick());
    }
  },
  OPERATOR_RACE {
    @Override
    void strike(FaultRun run, FaultStep step) {
      run.race();
    }
  };

  abstract void strike(FaultRun run, FaultStep step);

  /** The name on the command line and in histories. */
  public String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
