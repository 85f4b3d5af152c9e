#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "apps/taskagent/TaskAgentSettings.h"
#include "apps/taskagent/WorkerControl.h"
#include "foxtailbarrow/Store.h"
#include "src/core/cell/CellMessages.h"
#include "src/core/cell/ReportEncoder.h"
#include "src/net/Poke.h"
#include "src/net/Rpc.h"

namespace foxtailbarrow::taskagent {

/// Keeps in touch with the cell's owner: reports to it on news and at
/// intervals, and finds it anew by the store or by other schedulers when it
/// does not answer.
class OwnerLink
{
public:
  OwnerLink(const TaskAgentSettings& aSettings,
            net::FiberRuntime& aRuntime,
            WorkerControl& aWorker,
            Store& aStore,
            net::RpcClient& aRpc);

  /// Something is to be reported now.
  void RequestReport()
  {
    mReportRequested = true;
    mPoke.Now();
  }
  Poke& RoundPoke() { return mPoke; }

  /// One report, or one search for the owner. Returns the pause until the next.
  Duration Round();

  /// `agent.attach`.
  absl::StatusOr<cell::AttachReply> OnAttach(
    const cell::AttachRequest& aRequest);

  cell::Generation KnownGeneration() const { return mGeneration; }
  Instant LastContact() const { return mContactAt; }
  std::uint64_t Reports() const { return mReports; }

private:
  /// Reports in a fiber of its own, so that an owner that does not answer does
  /// not delay the first report to the next one.
  void StartReport();
  void Report();
  cell::ReportRequest NextReport(Instant aNow);
  void OnReply(const cell::ReportReply& aReply,
               const Endpoint& aOwner,
               const cell::ReportRequest& aReport,
               Instant aSentAt);
  void Find();
  bool FindByStore();
  bool FindBySeeds();
  bool OnOwnerFound(cell::Generation aGeneration, const Endpoint& aOwner);

  const TaskAgentSettings& mSettings;
  net::FiberRuntime& mRuntime;
  WorkerControl& mWorker;
  Store& mStore;
  net::RpcClient& mRpc;
  Poke mPoke;
  std::optional<Endpoint> mOwner;
  cell::Generation mGeneration = 0;
  cell::Session mReportedSession = 0;
  std::optional<cell::Session> mReporting; ///< Session of a report on its way.
  bool mReportRequested = false;           ///< Came while one was on its way.
  std::int64_t mSequence = 0;
  Duration mReplyTook{}; ///< Of the newest report with a reply.
  cell::ReportEncoder mBase;
  Instant mContactAt{};
  bool mInContact = false;
  std::uint64_t mReports = 0;
};

} // namespace foxtailbarrow::taskagent
