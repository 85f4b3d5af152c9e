#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>

#include "absl/status/statusor.h"
#include <json/value.h>

#include "src/net/HttpClient.h"
#include "src/net/HttpServer.h"
#include "standins/taskworker/TaskWorkerFaults.h"
#include "standins/taskworker/TaskWorkerModel.h"

namespace foxtailbarrow::standin {

/// A heartbeat on its way to the agent, or answered.
struct HeartbeatEvent
{
  std::string mIncarnation;
  std::int64_t mSequence = 0;
  Resources mCapacity;
  bool mAnswered = false;
};

/// A worker of the users' platform over its HTTP calls: takes orders, tells its
/// agent about itself, crashes, leaves and comes back as another incarnation.
/// The runtime must have one thread, on which all methods are called.
class TaskWorkerService
{
public:
  struct Registration
  {
    Endpoint mListen; ///< For orders.
    Endpoint mAgent;  ///< For heartbeats.
    std::string mName;
    std::string mService;
    std::string mRack;
  };

  /// `aSink` is told of every run, with the incarnation that it is of.
  using RunEventSink =
    std::function<void(const std::string& aIncarnation, const RunEvent&)>;

  static absl::StatusOr<std::unique_ptr<TaskWorkerService>> Start(
    net::FiberRuntime& aRuntime,
    Registration aRegistration,
    TaskWorkerSettings aSettings,
    unsigned aSeed,
    RunEventSink aSink);

  void SetHeartbeatSink(std::function<void(const HeartbeatEvent&)> aSink)
  {
    mHeartbeatSink = std::move(aSink);
  }

  void SetFaults(const TaskWorkerFaults& aFaults);
  /// The next heartbeats tell it. What runs goes on.
  void Resize(const Resources& aCapacity) { mCapacity = aCapacity; }
  /// Gone from now on; what runs is lost. Every second life its machine goes
  /// with it and answers nothing, else connections are refused.
  void Crash();
  /// After Crash(), or after it has left: the next incarnation.
  void Restart();
  /// Tells that it drains, serves on for a while, says good-bye, and is gone.
  /// Suspends the calling fiber meanwhile.
  void Leave();

  bool Up() const { return mUp; }
  const std::string& Incarnation() const { return mIncarnation; }

private:
  TaskWorkerService(net::FiberRuntime& aRuntime,
                    Registration aRegistration,
                    TaskWorkerSettings aSettings,
                    unsigned aSeed,
                    RunEventSink aSink);

  net::HttpResponse Handle(const net::HttpRequest& aRequest);
  net::HttpResponse Execute(const net::HttpRequest& aRequest);
  void SendHeartbeat();
  net::HttpResponse Poll(const Json::Value& aBody);
  net::HttpResponse LeaveUnanswered();
  absl::Status Listen();
  void RunHeartbeats();
  void Tick();
  void CrashAndRestart();

  net::FiberRuntime& mRuntime;
  Registration mRegistration;
  TaskWorkerSettings mSettings;
  Resources mCapacity;
  std::function<void(const HeartbeatEvent&)> mHeartbeatSink =
    [](const HeartbeatEvent&) {};
  std::mt19937 mRandom;
  RunEventSink mSink;
  TaskWorkerFaults mFaults;
  std::shared_ptr<TaskWorkerModel> mModel;
  std::string mIncarnation;
  int mIncarnations = 0;
  std::int64_t mSequence = 0;
  bool mUp = false;
  bool mDraining = false;
  bool mExecutesLate = false;
  net::HttpClient mClient;
  std::unique_ptr<net::HttpServer> mServer; ///< Null: connections are refused.
  /// Of earlier lives, while their last handlers end.
  std::unique_ptr<net::HttpServer> mClosedServer;
};

} // namespace foxtailbarrow::standin
