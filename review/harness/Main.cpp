#include <cstdlib>
#include <iostream>
#include <map>

#include "Cases.h"

namespace {

using namespace review;

struct Case
{
  unsigned mRunners = 0;
  int (*mPlay)(Deployment&, Runs&, Record&, bool) = nullptr;
};

} // namespace

/// usage: review-harness CASE RECORD, with the programs under test in
/// REVIEW_PROGRAMS and a folder for their logs in REVIEW_LOGS.
int main(int argc, char** argv)
{
  const std::map<std::string, Case> cases{
    { "large-orders", { kLargeOrdersRunners, LargeOrders } },
    { "many-jobs", { kManyJobsRunners, ManyJobs } },
    { "many-ends", { kManyEndsRunners, ManyEnds } },
  };
  const auto found = argc == 3 ? cases.find(argv[1]) : cases.end();
  if (found == cases.end()) {
    std::cerr << "usage: review-harness CASE RECORD\n";
    return 2;
  }
  const char* trouble = std::getenv("TROUBLE");
  Record record(argv[2]);
  Runs runs(record);
  Deployment deployment(
    record, found->second.mRunners, [&runs](const RunEvent& aEvent) {
      runs.OnEvent(aEvent);
    });
  const int result =
    found->second.mPlay(deployment,
                        runs,
                        record,
                        trouble == nullptr || std::string(trouble) != "0");
  deployment.StopPrograms();
  // Skips destructors: threads of the stand-ins use the objects until the end.
  std::_Exit(result);
}
