package org.wigeonwharf.relay.keys;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import java.util.Collection;
import java.util.List;
import org.wigeonwharf.model.AccountId;
import org.wigeonwharf.model.ClassId;
import org.wigeonwharf.model.ServiceId;
import org.wigeonwharf.model.Verdict;
import org.wigeonwharf.relay.Problem;
import org.wigeonwharf.relay.wire.AnswerMessage;
import org.wigeonwharf.relay.wire.EndMessage;
import org.wigeonwharf.relay.wire.ForwardMessage;
import org.wigeonwharf.relay.wire.HeaderLineMessage;
import org.wigeonwharf.relay.wire.ProblemMessage;
import org.wigeonwharf.relay.wire.RelayMessage;
import org.wigeonwharf.relay.wire.StillRunningMessage;

/** Converts keyed requests and their results to and from protobuf messages. */
final class RelayCodec {
  private RelayCodec() {}

  static RelayMessage forwardMessage(long number, KeyedRequest r) {
    return RelayMessage.newBuilder()
        .setForward(
            ForwardMessage.newBuilder()
                .setNumber(number)
                .setKey(r.key().toText())
                .setAccount(r.account().value())
                .setService(r.service().value())
                .setServiceClass(r.serviceClass().value())
                .setMethod(r.method())
                .setPath(r.path())
                .addAllHeaders(toWire(r.headers()))
                .setBody(r.body()))
        .build();
  }

  /** Reads a forwarded request; returns a problem if the key is malformed or a name is blank. */
  static Either<Problem, KeyedRequest> readRequest(ForwardMessage m) {
    return IdempotencyKey.parse(m.getKey()).flatMap(key -> readRequest(key, m));
  }

  private static Either<Problem, KeyedRequest> readRequest(IdempotencyKey key, ForwardMessage m) {
    if (m.getAccount().isBlank() || m.getService().isBlank() || m.getServiceClass().isBlank()) {
      return Either.left(Problem.badRequest(400, "forward-malformed", "A name is missing."));
    }
    return Either.right(
        new KeyedRequest(
            key,
            new AccountId(m.getAccount()),
            new ServiceId(m.getService()),
            new ClassId(m.getServiceClass()),
            m.getMethod(),
            m.getPath(),
            fromWire(m.getHeadersList()),
            m.getBody()));
  }

  static RelayMessage endMessage(long number, Either<Problem, KeyedResponse> result) {
    EndMessage.Builder b = EndMessage.newBuilder().setNumber(number);
    result.peek(a -> b.setAnswer(answerMessage(a))).peekLeft(p -> b.setProblem(problemMessage(p)));
    return RelayMessage.newBuilder().setEnd(b).build();
  }

  private static AnswerMessage answerMessage(KeyedResponse a) {
    return AnswerMessage.newBuilder()
        .setStatus(a.status())
        .addAllHeaders(toWire(a.headers()))
        .setBody(a.body())
        .setServer(a.server())
        .build();
  }

  private static ProblemMessage problemMessage(Problem p) {
    return ProblemMessage.newBuilder()
        .setStatus(p.status())
        .setReason(p.reason())
        .setDetail(p.detail())
        .setVerdict(p.verdict().wireName())
        .setRetryAfterMillis(p.retryAfterMillis())
        .build();
  }

  /** Reads a result; one of an unknown kind becomes a problem with verdict may-have-run. */
  static Either<Problem, KeyedResponse> readEnd(EndMessage m) {
    if (m.hasAnswer()) {
      AnswerMessage a = m.getAnswer();
      ByteString body = a.getBody();
      return Either.right(
          new KeyedResponse(a.getStatus(), fromWire(a.getHeadersList()), body, a.getServer()));
    }
    if (!m.hasProblem()) {
      return Either.left(KeyProblems.issuerUnreachable());
    }
    ProblemMessage p = m.getProblem();
    return Either.left(
        new Problem(
            p.getStatus(),
            p.getReason(),
            p.getDetail(),
            readVerdict(p.getVerdict()),
            p.getRetryAfterMillis()));
  }

  private static Verdict readVerdict(String wireName) {
    for (Verdict v : Verdict.values()) {
      if (v.wireName().equals(wireName)) {
        return v;
      }
    }
    return Verdict.MAY_HAVE_RUN;
  }

  static RelayMessage stillRunningMessage(Collection<Long> numbers) {
    return RelayMessage.newBuilder()
        .setStillRunning(StillRunningMessage.newBuilder().addAllNumbers(numbers))
        .build();
  }

  private static List<HeaderLineMessage> toWire(List<HeaderLine> lines) {
    return lines.stream().map(RelayCodec::toWire).toList();
  }

  private static HeaderLineMessage toWire(HeaderLine line) {
    return HeaderLineMessage.newBuilder().setName(line.name()).setValue(line.value()).build();
  }

  private static List<HeaderLine> fromWire(List<HeaderLineMessage> lines) {
    return lines.stream().map(l -> new HeaderLine(l.getName(), l.getValue())).toList();
  }
}
