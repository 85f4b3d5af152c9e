// Size of a heartbeat exchange and the resulting heartbeat interval, by number
// of entries and of task reports per heartbeat.

#include <cstdio>
#include <string>

#include "foxtailbarrow/Messages.h"
#include "src/core/membership/HeartbeatInterval.h"
#include "src/core/message/Codec.h"

namespace foxtailbarrow {
namespace {

/// Estimates of the HTTP headers and JSON-RPC envelopes in both directions, and
/// of the TCP/IP headers of two segments and two acknowledgements.
constexpr std::size_t kEnvelopeBytes = 420;
constexpr std::size_t kSegmentBytes = 4 * 52;

Heartbeat HeartbeatWith(int aTasks)
{
  Heartbeat heartbeat;
  heartbeat.mAgent = AgentId("agent-10-0-12-34");
  heartbeat.mIncarnation = 1'796'227'200'000'000;
  heartbeat.mSequence = 123'456;
  heartbeat.mEndpoint = { "10.0.12.34", 8080 };
  heartbeat.mService = ServiceId("mileage-log");
  heartbeat.mRack = RackId("rack-1234");
  heartbeat.mFailureDomain = FailureDomainId("domain-13");
  heartbeat.mState = ServingState::Serving;
  heartbeat.mLoad = { 8, 5, 2, { 64'000, 256'000, 0 }, { 32'000, 99'000, 0 } };
  heartbeat.mConfiguration = 123'456;
  for (int i = 0; i < aTasks; ++i) {
    TaskReport report;
    report.mShard = 77;
    report.mStatus.mKey = { JobId("job-0123456789abcdef"), 3 };
    report.mStatus.mCustomer = CustomerId("customer-1234");
    report.mStatus.mReserved = { 2'000, 4'000, 0 };
    heartbeat.mTasks.push_back(report);
  }
  return heartbeat;
}

HeartbeatReply ReplyWith(std::size_t aEntries, int aLeases)
{
  HeartbeatReply reply;
  reply.mEntry = EntryId("entry-10-1-0-12");
  reply.mConfiguration = 123'456;
  for (std::size_t i = 0; i < aEntries; ++i) {
    reply.mEntries.push_back({ "10.1.0." + std::to_string(100 + i), 9000 });
  }
  for (int i = 0; i < aLeases; ++i) {
    reply.mLeases.push_back({ 77, 1'234'567, std::chrono::seconds(20) });
  }
  return reply;
}

void Print(std::size_t aEntries, int aTasks, bool aListsEntries)
{
  const std::size_t request = ToJsonText(HeartbeatWith(aTasks)).size();
  const std::size_t reply =
    ToJsonText(ReplyWith(aListsEntries ? aEntries : 0, 4)).size();
  const std::size_t exchange = request + reply + kEnvelopeBytes + kSegmentBytes;
  const Duration interval =
    HeartbeatInterval({}, aEntries, static_cast<double>(exchange));
  std::printf("| %zu | %d | %s | %zu | %zu | %zu | %.1f |\n",
              aEntries,
              aTasks,
              aListsEntries ? "yes" : "no",
              request,
              reply,
              exchange,
              std::chrono::duration<double>(interval).count());
}

} // namespace
} // namespace foxtailbarrow

int main()
{
  std::printf("| entries | tasks reported | reply lists entries | heartbeat "
              "bytes | reply bytes | exchange bytes | interval s |\n"
              "|---|---|---|---|---|---|---|\n");
  for (const std::size_t entries : { 3, 16, 64 }) {
    for (const int tasks : { 0, 1, 22 }) {
      for (const bool lists : { true, false }) {
        foxtailbarrow::Print(entries, tasks, lists);
      }
    }
  }
  return 0;
}
