package org.wigeonwharf.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.model.FailureDomain;

/** Checks real sockets, since the kinds of connection failures differ only there. */
class NettyLivenessCheckTest {
  private static final long WAIT_SECONDS = 10;

  private final NioEventLoopGroup loops = new NioEventLoopGroup(1);

  @AfterEach
  void stop() {
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private LivenessCheck.Result check(int port) throws Exception {
    BackendServer server =
        new BackendServer(
            "s",
            "service",
            new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
            new FailureDomain("d"),
            6,
            false,
            1);
    CompletableFuture<LivenessCheck.Result> result = new CompletableFuture<>();
    new NettyLivenessCheck(loops.next()).check(server, result::complete);
    return result.get(WAIT_SECONDS, TimeUnit.SECONDS);
  }

  @Test
  void listeningProcessIsAliveAndClosedPortMeansItEnded() throws Exception {
    int port;
    try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      port = listener.getLocalPort();
      assertEquals(LivenessCheck.Result.ALIVE, check(port));
    }
    assertEquals(LivenessCheck.Result.ENDED, check(port));
  }
}
