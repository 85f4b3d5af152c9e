#include <thread>
#include <vector>

#include "tests/store/StoreHarness.h"

namespace foxtailbarrow {

namespace {

class MemoryHarness final : public StoreHarness
{
public:
  ~MemoryHarness() override { mBackend.Close(); }

  Store& Client() override { return mBackend; }
  void Run(const std::function<void()>& aBody) override { aBody(); }
  void RunConcurrently(std::function<void()> aBody) override
  {
    mThreads.emplace_back(std::move(aBody));
  }

private:
  std::vector<std::jthread> mThreads;
};

} // namespace

std::unique_ptr<StoreHarness> MakeMemoryHarness()
{
  return std::make_unique<MemoryHarness>();
}

} // namespace foxtailbarrow
