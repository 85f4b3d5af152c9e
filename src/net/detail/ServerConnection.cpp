#include "src/net/detail/ServerConnection.h"

#include <algorithm>
#include <exception>
#include <utility>

#include <boost/beast/http/error.hpp>
#include <boost/context/fiber.hpp>

#include "foxtailbarrow/Verdict.h"
#include "src/net/detail/MessageReader.h"
#include "src/net/detail/MessageWriter.h"

namespace foxtailbarrow::net::detail {

namespace {

constexpr unsigned kBadRequest = 400;
constexpr unsigned kRequestTimeout = 408;
constexpr unsigned kContentTooLarge = 413;
constexpr unsigned kHeaderTooLarge = 431;
constexpr unsigned kInternalError = 500;
constexpr unsigned kUnavailable = 503;

/// Limits on what a connection reads and discards after its last response.
/// Closing with unread input would send a reset, which may discard the response
/// before the peer reads it.
constexpr std::size_t kMaxFirstBytes = 4UL * 1024;
constexpr std::size_t kMaxDiscardedBytes = 4UL * 1024 * 1024;
constexpr std::chrono::seconds kDiscardTimeout(2);
/// A response that the peer has not read for this long may be cut off if memory
/// is short.
constexpr std::chrono::seconds kUnreadResponseTime(2);

/// Status of a request that was not received completely; 0 if the connection
/// is broken.
unsigned StatusOf(const ErrorCode& aError)
{
  if (aError == boost::asio::error::timed_out) {
    return kRequestTimeout;
  }
  if (aError == boost::asio::error::no_memory) {
    return kUnavailable;
  }
  if (aError == http::error::header_limit) {
    return kHeaderTooLarge;
  }
  if (aError == http::error::body_limit) {
    return kContentTooLarge;
  }
  const bool malformed =
    aError.category() == make_error_code(http::error::need_more).category();
  return malformed ? kBadRequest : 0;
}

HttpResponse ErrorResponse(unsigned aStatus, Verdict aVerdict)
{
  HttpResponse response;
  response.mStatus = aStatus;
  response.mHeaders.Append(kVerdictHeader, ToString(aVerdict));
  if (aStatus == kUnavailable) {
    response.mHeaders.Append("Retry-After", "1");
  }
  return response;
}

std::size_t MemoryOf(const HttpHeaders& aHeaders)
{
  std::size_t bytes = aHeaders.All().capacity() * sizeof(HttpHeader);
  for (const HttpHeader& header : aHeaders.All()) {
    bytes += header.mName.size() + header.mValue.size();
  }
  return bytes;
}

std::size_t MemoryOf(const HttpRequest& aRequest)
{
  return aRequest.mTarget.size() + MemoryOf(aRequest.mHeaders) +
         aRequest.mBody.capacity();
}

std::size_t MemoryOf(const HttpResponse& aResponse)
{
  return MemoryOf(aResponse.mHeaders) + aResponse.mBody.capacity();
}

/// Counts a request as in progress until End() or destruction.
class InProgress
{
public:
  explicit InProgress(ServerThread& aThread)
    : mThread(aThread)
  {
    mThread.mInProgress.fetch_add(1, std::memory_order_relaxed);
  }
  ~InProgress() { End(); }

  InProgress(const InProgress&) = delete;
  InProgress& operator=(const InProgress&) = delete;

  void End()
  {
    if (!std::exchange(mEnded, true)) {
      mThread.mInProgress.fetch_sub(1, std::memory_order_release);
    }
  }

private:
  ServerThread& mThread;
  bool mEnded = false;
};

void Count(std::atomic<std::uint64_t>& aCounter)
{
  aCounter.fetch_add(1, std::memory_order_relaxed);
}

} // namespace

ServerConnection::ServerConnection(std::shared_ptr<ServerState> aState,
                                   ServerThread& aThread,
                                   TcpSocket aSocket,
                                   bool aRefuse)
  : mState(std::move(aState))
  , mThread(aThread)
  , mConnection(std::move(aSocket))
  , mRefuse(aRefuse)
{
  mThread.mOpen.insert(this);
}

ServerConnection::~ServerConnection()
{
  SetMessageBytes(0);
  SetResponseBytes(0);
  mThread.mOpen.erase(this);
}

void ServerConnection::Run()
{
  if (mConnection.Prepare()) {
    return;
  }
  // An evicted connection has lost input, even if its last wait succeeded.
  while (!mState->mClosing.load(std::memory_order_relaxed) && ServeOne() &&
         !mEvicted) {
  }
}

void ServerConnection::OnDrain()
{
  if (mPhase == Phase::Idle) {
    mConnection.Cancel();
  }
}

void ServerConnection::OnClose()
{
  ErrorCode ignored;
  mConnection.Socket().shutdown(TcpSocket::shutdown_both, ignored);
  mConnection.Cancel();
}

bool ServerConnection::Ending() const
{
  return mState->mDraining.load(std::memory_order_relaxed) ||
         mState->mClosing.load(std::memory_order_relaxed);
}

ServerConnection::TimePoint ServerConnection::Enter(Phase aPhase)
{
  mPhase = aPhase;
  mPhaseBegin = std::chrono::steady_clock::now();
  const Duration timeout = mState->mLimits.mIdleTimeout;
  switch (aPhase) {
    case Phase::Closing:
      return mPhaseBegin + kDiscardTimeout;
    case Phase::Idle:
      return mPhaseBegin +
             mState->mRequestLimits.Load()->mKeepAliveTimeout.value_or(timeout);
    default:
      return mPhaseBegin + timeout;
  }
}

void ServerConnection::SetMessageBytes(std::size_t aBytes)
{
  mThread.mMessageBytes += aBytes - std::exchange(mMessageBytes, aBytes);
}

void ServerConnection::SetResponseBytes(std::size_t aBytes)
{
  mThread.mResponseBytes += aBytes - std::exchange(mResponseBytes, aBytes);
}

void ServerConnection::EvictUnreadResponses()
{
  while (mThread.mResponseBytes > mState->MaxMessageBytesOfThread()) {
    ServerConnection* const victim = NextVictim(mThread, Shortage::Responses);
    if (victim == nullptr) {
      return;
    }
    victim->Evict(Shortage::Responses);
  }
}

bool ServerConnection::Reserve(std::size_t aBytes)
{
  EvictUnreadResponses();
  SetMessageBytes(aBytes);
  while (mThread.mMessageBytes > mState->MaxMessageBytesOfThread()) {
    ServerConnection* const victim = NextVictim(mThread, Shortage::Memory);
    if (victim == nullptr || victim == this) {
      Count(mThread.mEvictedForMemory);
      return false;
    }
    victim->Evict(Shortage::Memory);
  }
  return true;
}

bool ServerConnection::GoesBefore(const ServerConnection& aOther) const
{
  return mPhase != aOther.mPhase ? mPhase < aOther.mPhase
                                 : mPhaseBegin < aOther.mPhaseBegin;
}

bool ServerConnection::IsEvictable(Shortage aShortage, TimePoint aNow) const
{
  if (mPhase == Phase::InProgress) {
    return false;
  }
  if (mPhase == Phase::Responding && aNow - mPhaseBegin < kUnreadResponseTime) {
    return false;
  }
  switch (aShortage) {
    case Shortage::Memory:
      return mMessageBytes > 0;
    case Shortage::Responses:
      return mResponseBytes > 0;
    case Shortage::Connections:
      return !mRefuse;
    case Shortage::RefusedConnections:
      return mRefuse;
  }
  return false;
}

ServerConnection* ServerConnection::NextVictim(const ServerThread& aThread,
                                               Shortage aShortage)
{
  const TimePoint now = std::chrono::steady_clock::now();
  ServerConnection* victim = nullptr;
  for (ServerConnection* other : aThread.mOpen) {
    if (other->IsEvictable(aShortage, now) &&
        (victim == nullptr || other->GoesBefore(*victim))) {
      victim = other;
    }
  }
  return victim;
}

void ServerConnection::Evict(Shortage aShortage)
{
  mEvicted = true;
  if (aShortage == Shortage::Memory || aShortage == Shortage::Responses) {
    Count(mThread.mEvictedForMemory);
    ReleaseMessage();
    mConnection.Cancel();
  } else {
    Count(mThread.mEvictedForConnections);
    CloseNow();
  }
}

void ServerConnection::CloseNow()
{
  if (mPhase == Phase::Receiving) {
    std::string head;
    AppendHead(head,
               ErrorResponse(kUnavailable, Verdict::NotRun),
               BodyFraming::ContentLength,
               false);
    mConnection.TryWrite(head);
  }
  ReleaseMessage();
  mThread.mOpen.erase(this);
  ErrorCode ignored;
  mConnection.Socket().close(ignored);
}

std::size_t ServerConnection::MaxRefused(std::size_t aLimit)
{
  constexpr std::size_t kFraction = 10;
  return aLimit / kFraction + 1;
}

bool ServerConnection::MakeRoom(const ServerState& aState,
                                ServerThread& aThread)
{
  const std::size_t limit = aState.MaxConnectionsOfThread();
  if (aThread.mOpen.size() < limit) {
    return true;
  }
  if (ServerConnection* victim = NextVictim(aThread, Shortage::Connections)) {
    victim->Evict(Shortage::Connections);
    return true;
  }
  if (aThread.mOpen.size() >= limit + MaxRefused(limit)) {
    if (ServerConnection* refused =
          NextVictim(aThread, Shortage::RefusedConnections)) {
      refused->Evict(Shortage::RefusedConnections);
    }
  }
  return false;
}

void ServerConnection::ReleaseMessage()
{
  if (mPartial != nullptr) {
    *mPartial = HttpRequest();
  }
  mConnection.ReleaseBuffer();
  SetMessageBytes(0);
  SetResponseBytes(0);
}

bool ServerConnection::ServeOne()
{
  if (!AwaitFirstByte()) {
    return false;
  }
  InProgress inProgress(mThread);
  HttpRequest request;
  const auto limits = mState->mRequestLimits.Load();
  RequestParser parser(request, limits->mMaxHeaderBytes, limits->mMaxBodyBytes);
  mPartial = &request;
  const bool received = Receive(parser, *limits);
  mPartial = nullptr;
  if (!received) {
    return false;
  }
  mPhase = Phase::InProgress;
  Count(mThread.mRequests);
  if (mRefuse) {
    Reject(kUnavailable);
    return false;
  }
  if (mState->mStream && request.mTarget == mState->mStreamTarget) {
    inProgress.End();
    RunStream(request);
    return false;
  }
  const HttpResponse response = CallHandler(request);
  if (response.mStatus == kCloseWithoutAnswer) {
    return false;
  }
  SetResponseBytes(MemoryOf(response));
  const bool keepAlive = parser.keep_alive() && parser.IsHttp11() && !Ending();
  if (!Answer(request, response, keepAlive)) {
    return false;
  }
  if (!keepAlive) {
    inProgress.End();
    LingeringClose();
  }
  return keepAlive;
}

bool ServerConnection::AwaitFirstByte()
{
  const TimePoint idleEnd = Enter(Phase::Idle);
  while (mConnection.Buffered().empty()) {
    const TimePoint end = mState->mDraining.load()
                            ? std::min(idleEnd, mState->DrainEnd())
                            : idleEnd;
    ReleaseMessage();
    const ErrorCode error = mConnection.Read(end, kMaxFirstBytes);
    // OnDrain() also aborts a wait that already uses the drain deadline.
    const bool drains = error == boost::asio::error::operation_aborted &&
                        !mState->mClosing.load();
    if (mEvicted || (error && !drains)) {
      return false;
    }
  }
  return true;
}

bool ServerConnection::Receive(RequestParser& aParser,
                               const HttpRequestLimits& aLimits)
{
  const TimePoint deadline = Enter(Phase::Receiving);
  const TimePoint headerDeadline =
    std::min<TimePoint>(deadline, mPhaseBegin + aLimits.mHeaderTimeout);
  MessageReader reader(mConnection, aLimits.mMaxHeaderBytes);
  bool continued = false;
  for (;;) {
    ErrorCode error = reader.Parse(aParser);
    if (!error && !Reserve(mConnection.BufferBytes() + MemoryOf(*mPartial))) {
      error = boost::asio::error::no_memory;
    }
    if (!error && aParser.is_done()) {
      break;
    }
    if (!error && !AnswerContinue(aParser, deadline, continued)) {
      return false;
    }
    if (!error) {
      error = reader.Read(aParser.is_header_done() ? deadline : headerDeadline);
    }
    if (mEvicted) {
      error = boost::asio::error::no_memory;
    }
    if (error) {
      if (const unsigned status = StatusOf(error); status != 0) {
        Reject(status);
      }
      return false;
    }
  }
  if (aParser.IsHttp11() && !aParser.HasHost()) {
    Reject(kBadRequest);
    return false;
  }
  return true;
}

bool ServerConnection::AnswerContinue(const RequestParser& aParser,
                                      TimePoint aDeadline,
                                      bool& aAnswered)
{
  if (aAnswered || !aParser.is_header_done() || !aParser.ExpectsContinue()) {
    return true;
  }
  aAnswered = true;
  std::size_t written = 0;
  return !mConnection.Write(
    "HTTP/1.1 100 Continue\r\n\r\n", {}, aDeadline, written);
}

HttpResponse ServerConnection::CallHandler(HttpRequest& aRequest)
{
  try {
    return mState->mHandler(aRequest);
  } catch (const boost::context::detail::forced_unwind&) {
    throw;
  } catch (...) {
    Count(mThread.mHandlerFailures);
    return ErrorResponse(kInternalError, Verdict::MayHaveRun);
  }
}

bool ServerConnection::Answer(const HttpRequest& aRequest,
                              const HttpResponse& aResponse,
                              bool aKeepAlive)
{
  const bool isHeadRequest = aRequest.mMethod == "HEAD";
  BodyFraming framing = FramingOf(aResponse.mStatus);
  if (isHeadRequest && aResponse.mBody.empty()) {
    framing = BodyFraming::None;
  }
  const bool sendsBody = !isHeadRequest && framing != BodyFraming::None;
  std::string_view body = sendsBody ? aResponse.mBody : std::string_view();
  std::string& head = mConnection.Scratch();
  head.clear();
  AppendHead(head, aResponse, framing, aKeepAlive);
  if (body.size() <= kMaxCopiedBody) {
    head.append(std::exchange(body, {}));
  }
  std::size_t written = 0;
  return !mConnection.Write(head, body, Enter(Phase::Responding), written);
}

void ServerConnection::RunStream(HttpRequest& aRequest)
{
  HttpResponse response;
  response.mHeaders.Append("Content-Type", "application/json");
  std::string& head = mConnection.Scratch();
  head.clear();
  AppendHead(head, response, BodyFraming::Chunked, false);
  std::size_t written = 0;
  if (mConnection.Write(head, {}, Enter(Phase::Responding), written)) {
    return;
  }
  mPhase = Phase::InProgress;
  HttpStreamWriter writer(
    mConnection, mState->mLimits.mIdleTimeout, [this] { return Ending(); });
  try {
    mState->mStream(aRequest, writer);
  } catch (const boost::context::detail::forced_unwind&) {
    throw;
  } catch (...) {
    // Without a last chunk the peer detects the truncated stream.
    Count(mThread.mHandlerFailures);
    return;
  }
  mConnection.Write("0\r\n\r\n", {}, Enter(Phase::Responding), written);
  LingeringClose();
}

void ServerConnection::Reject(unsigned aStatus)
{
  ReleaseMessage();
  const HttpResponse response = ErrorResponse(aStatus, Verdict::NotRun);
  if (aStatus != kUnavailable) {
    Count(mThread.mRejected);
  }
  if (Answer(HttpRequest(), response, false)) {
    LingeringClose();
  }
}

void ServerConnection::LingeringClose()
{
  ErrorCode error;
  mConnection.Socket().shutdown(TcpSocket::shutdown_send, error);
  const TimePoint end = Enter(Phase::Closing);
  std::size_t discarded = 0;
  while (!error && discarded < kMaxDiscardedBytes && !mState->mClosing.load()) {
    discarded += mConnection.Buffered().size();
    mConnection.Consume(mConnection.Buffered().size());
    error = mConnection.Read(end, kMaxDiscardedBytes);
  }
}

} // namespace foxtailbarrow::net::detail
