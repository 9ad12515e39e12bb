package org.teaseldeal.standin.engine;

/** Receives the frames of a generation from a given position on. */
interface FrameSink {
  /** Called for each frame, in order. */
  void onFrame(int position, String text, boolean last);

  /** Called after the last frame. */
  void onFinished(EngineUsage usage, int frames);

  /** Called if no more frames will follow although the answer is incomplete. */
  void onBroken();
}
