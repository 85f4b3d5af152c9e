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

/// A heartbeat that was sent to the agent or accepted by it.
struct HeartbeatEvent
{
  std::string mIncarnation;
  std::int64_t mSequence = 0;
  Resources mCapacity;
  std::string mFailureDomain;
  bool mAnswered = false;
};

/// Which id a worker has after a restart.
enum class RestartId : std::uint8_t
{
  Kept, ///< Only its time of start tells the incarnations apart.
  New,
};

/// Stand-in of a worker of the users' platform with its HTTP API: executes the
/// agent's commands, sends it heartbeats, crashes, leaves and restarts as a new
/// incarnation. All methods must be called on the single thread of the runtime.
class TaskWorkerService
{
public:
  struct Registration
  {
    Endpoint mListen; ///< For commands.
    Endpoint mAgent;  ///< For heartbeats.
    std::string mName;
    std::string mService;
    std::string mRack;
    std::string mFailureDomain = "zone";
  };

  /// Receives every run event with the incarnation of the worker.
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
  /// Later heartbeats report the capacity. Running tasks continue.
  void Resize(const Resources& aCapacity) { mCapacity = aCapacity; }
  /// Crashes the worker; all runs are lost. Even-numbered incarnations refuse
  /// connections afterwards, odd-numbered ones accept them without a response,
  /// like a lost machine.
  void Crash();
  /// Starts the next incarnation after Crash() or Leave(). Suspends the calling
  /// fiber while the address is in use; has no effect while another fiber does.
  void Restart(RestartId aId);
  /// Of restarts after a task has crashed the worker.
  void SetCrashRestartId(RestartId aId) { mCrashRestartId = aId; }
  /// Steps the clock from which later incarnations take their time of start.
  void StepClock(Duration aBy) { mClockStep += aBy; }
  /// Reports that it is draining, keeps running for a while, deregisters and
  /// stops. Suspends the calling fiber meanwhile.
  void Leave();

  bool Up() const { return mUp; }
  /// Name of the incarnation in events; not known to the agent.
  const std::string& Incarnation() const { return mIncarnation; }
  const std::string& Id() const { return mId; }
  std::int64_t StartedUnixMs() const { return mStartedUnixMs; }

private:
  TaskWorkerService(net::FiberRuntime& aRuntime,
                    Registration aRegistration,
                    TaskWorkerSettings aSettings,
                    unsigned aSeed,
                    RunEventSink aSink);

  net::HttpResponse Handle(const net::HttpRequest& aRequest, int aIncarnation);
  net::HttpResponse Execute(const net::HttpRequest& aRequest);
  void SendHeartbeat();
  net::HttpResponse Poll(const Json::Value& aBody);
  net::HttpResponse LeaveUnanswered(int aIncarnation);
  absl::Status Listen();
  void CloseServer();
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
  std::string mId;
  std::int64_t mStartedUnixMs = 0;
  Duration mClockStep{};
  RestartId mCrashRestartId = RestartId::New;
  std::string mIncarnation;
  int mIncarnations = 0;
  std::int64_t mSequence = 0;
  bool mUp = false;
  bool mRestarting = false; ///< A fiber is in Restart().
  bool mDraining = false;
  bool mExecutesLate = false;
  net::HttpClient mClient;
  /// Null while connections are refused.
  std::unique_ptr<net::HttpServer> mServer;
  /// Server of an earlier incarnation, until its last handlers have ended.
  std::unique_ptr<net::HttpServer> mClosedServer;
};

} // namespace foxtailbarrow::standin
