package org.wigeonwharf.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.ChannelException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against calls that throw, or never end, because no descriptor is free. */
class PlatformClientTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  @AfterEach
  void stop() {
    loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  @Test
  void callWithoutFreeDescriptorFailsAndLaterOnesWork() throws Exception {
    AtomicBoolean descriptors = new AtomicBoolean();
    try (StoreStandIn store = new StoreStandIn()) {
      PlatformClient client =
          new PlatformClient(
              loops,
              store.address(),
              () -> {
                if (!descriptors.get()) {
                  throw new ChannelException("Too many open files");
                }
                return new NioSocketChannel();
              });
      CompletableFuture<PlatformAnswer> call = client.send("/kv-range?prefix=", TIMEOUT);
      Throwable e =
          assertThrows(ExecutionException.class, () -> call.get(2, TimeUnit.SECONDS)).getCause();
      assertInstanceOf(IOException.class, e);
      descriptors.set(true);
      assertEquals(200, client.send("/kv-range?prefix=", TIMEOUT).get().status());
    }
  }
}
