#pragma once

#include <memory>
#include <string>

#include "src/core/cell/workers/ReportEncoder.h"
#include "src/net/HttpServer.h"
#include "src/net/Rpc.h"

namespace foxtailbarrow::scheduler::test {

/// An agent that accepts any owner, carries out no orders, and reports a worker
/// with running tasks whose figures all change from report to report.
class ReportingAgent
{
public:
  inline static const std::string kFailureDomain = "domain-1";

  ReportingAgent(net::FiberRuntime& aRuntime,
                 net::RpcClient& aRpc,
                 int aNumber,
                 const Endpoint& aOwner);

  /// Sends one report.
  void Report();

  std::uint64_t AcceptedReports() const { return mAcceptedReports; }

  /// The job of all its tasks, in run 1.
  inline static const JobId kJob{ "0123456789abcdef" };
  static constexpr int kTasks = 22;
  bool mDraining = false; ///< The worker states that it will leave.
  bool mLeft = false;     ///< The worker has left.
  int mRunning = kTasks;  ///< Tasks that it runs.
  int mEndedDone = 0;     ///< Ended done, from the last task down.

private:
  cell::WorkerState State();

  net::RpcClient& mRpc;
  AgentId mId;
  Endpoint mOwner;
  net::RpcDispatcher mDispatcher;
  std::unique_ptr<net::HttpServer> mServer;
  cell::ReportEncoder mEncoder;
  cell::Session mSession = 0;
  std::int64_t mSequence = 0;
  std::int64_t mFigure = 0;
  std::uint64_t mAcceptedReports = 0;
};

} // namespace foxtailbarrow::scheduler::test
