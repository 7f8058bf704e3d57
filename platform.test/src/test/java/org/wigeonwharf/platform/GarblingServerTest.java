package org.wigeonwharf.platform;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.Random;
import org.junit.jupiter.api.Test;

class GarblingServerTest {
  /** Draws the answer without a length that is reset before its end. */
  private static final class ResetAnswers extends Random {
    private static final long serialVersionUID = 1L;

    @Override
    public int nextInt(int bound) {
      return 6;
    }
  }

  // Guards against an answer that becomes whole because its server is closed before the reset.
  @Test
  void answerThatIsToBeResetIsNotEndedInOrderWhenTheServerCloses() throws Exception {
    for (int i = 0; i < 20; i++) {
      GarblingServer server = new GarblingServer(new ResetAnswers(), "v1", id -> {});
      try (KeptConnection c = new KeptConnection(server.address())) {
        c.send(RequestText.of("/r/x", "q" + i, 1_000));
        c.readUntil("data: q" + i + " v1");
        server.close();
        assertThrows(IOException.class, c::awaitEnd);
      }
    }
  }
}
