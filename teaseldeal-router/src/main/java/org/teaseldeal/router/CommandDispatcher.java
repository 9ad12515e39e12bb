package org.teaseldeal.router;

import java.util.function.Consumer;
import org.teaseldeal.cli.log.LogLine;
import org.teaseldeal.core.command.InstanceCommand;
import org.teaseldeal.router.backend.BackendCalls;
import org.teaseldeal.router.backend.EngineOrderCalls;
import org.teaseldeal.router.caller.CallerGateway;
import org.teaseldeal.router.peer.PeerSender;
import org.teaseldeal.router.platform.LogClient;

/** Dispatches each command of the instance to the component that executes it. */
record CommandDispatcher(
    CallerGateway callers,
    BackendCalls backendCalls,
    EngineOrderCalls orderCalls,
    LogClient logClient,
    PeerSender peers,
    Runnable stop)
    implements Consumer<InstanceCommand> {
  @Override
  public void accept(InstanceCommand command) {
    switch (command) {
      case InstanceCommand.RefuseCall refuse -> callers.refuse(refuse);
      case InstanceCommand.SendFrame frame -> callers.sendFrame(frame);
      case InstanceCommand.FinishStream finish -> callers.finishStream(finish);
      case InstanceCommand.AbortStream abort -> callers.abortStream(abort);
      case InstanceCommand.AnswerPlain answer -> callers.answerPlain(answer);
      case InstanceCommand.StartAttempt start -> backendCalls.start(start);
      case InstanceCommand.CancelAttempt cancel -> backendCalls.cancel(cancel);
      case InstanceCommand.DropAttempt drop -> backendCalls.drop(drop);
      case InstanceCommand.QueryUsage query -> backendCalls.queryUsage(query);
      case InstanceCommand.QueryOrderState query -> orderCalls.queryState(query);
      case InstanceCommand.SendOrder order -> orderCalls.send(order);
      case InstanceCommand.RunLogCommand run -> logClient.execute(run.command());
      case InstanceCommand.SendPeerMessage send -> peers.send(send);
      case InstanceCommand.RequestEnded ended -> logRequestEnd(ended);
      case InstanceCommand.Stop ignored -> stop.run();
    }
  }

  private static void logRequestEnd(InstanceCommand.RequestEnded ended) {
    LogLine.of("request ended")
        .with("request", ended.request())
        .with("service", ended.service())
        .with("customer", ended.customer())
        .with("outcome", ended.outcome())
        .with("attempts", ended.attempts())
        .with("revision", ended.revision())
        .info();
  }
}
