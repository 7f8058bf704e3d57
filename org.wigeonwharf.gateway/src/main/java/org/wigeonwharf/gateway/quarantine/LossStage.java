package org.wigeonwharf.gateway.quarantine;

/** Tells how far the answer to a request had come when its connection was lost. */
public enum LossStage {
  /** The server had not begun to answer. */
  WAITING,

  /** The answer had just begun. */
  BEGINNING,

  /** The answer had gone on for longer than a prompt needs that crashes its server at the begin. */
  RUNNING
}
