#include "src/platform/store/EtcdStore.h"
#include "standins/store/Gateway.h"
#include "tests/store/StoreHarness.h"

namespace foxtailbarrow {

namespace {

constexpr unsigned kThreads = 2;

class EtcdHarness final : public StoreHarness
{
public:
  ~EtcdHarness() override { mBackend.Close(); }

  Store& Client() override { return mClient; }
  void Run(const std::function<void()>& aBody) override
  {
    mRuntime.RunAndWait(aBody);
  }
  void RunConcurrently(std::function<void()> aBody) override
  {
    mRuntime.Spawn(std::move(aBody));
  }

private:
  EtcdSettings Settings() const
  {
    EtcdSettings settings;
    settings.mEndpoints = { mGateway->ListeningEndpoint() };
    settings.mCallTimeout = std::chrono::seconds(20);
    return settings;
  }

  net::FiberRuntime mRuntime{ kThreads };
  std::unique_ptr<Gateway> mGateway =
    Gateway::Start(mRuntime, mBackend, { "127.0.0.1", 0 }).value();
  EtcdStore mClient{ mRuntime, Settings() };
};

} // namespace

std::unique_ptr<StoreHarness> MakeEtcdHarness()
{
  return std::make_unique<EtcdHarness>();
}

} // namespace foxtailbarrow
