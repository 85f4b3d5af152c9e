#include <cstdlib>
#include <filesystem>
#include <functional>
#include <iostream>
#include <map>

#include <unistd.h>

#include "Cases.h"

/// usage: review-harness CASE RECORD_FILE
///
/// Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
/// run. TROUBLE=0 leaves the disruption out.
int main(int argc, char** argv)
{
  const std::map<std::string, std::function<int(review::CaseContext&)>> cases{
    { "removed-queue", review::RunRemovedQueue },
    { "late-submission", review::RunLateSubmission },
    { "foreign-heartbeat", review::RunForeignHeartbeat },
    { "repeated-job", review::RunRepeatedJob },
    { "rack-name", review::RunRackName },
    { "gang-after-crash", review::RunGangAfterCrash },
  };
  const auto found = argc == 3 ? cases.find(argv[1]) : cases.end();
  if (found == cases.end()) {
    std::cerr << "usage: review-harness CASE RECORD_FILE\n";
    return review::kCouldNotRun;
  }
  const char* trouble = std::getenv("TROUBLE");
  std::string folder =
    (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (::mkdtemp(folder.data()) == nullptr) {
    return review::kCouldNotRun;
  }
  int result = review::kCouldNotRun;
  try {
    review::Record record(argv[2]);
    review::CaseContext context{
      record, folder, trouble == nullptr || std::string(trouble) != "0"
    };
    result = found->second(context);
    record.Write(result == review::kBroken ? "verdict: the rule was broken"
                 : result == review::kHeld ? "verdict: the rule held"
                                           : "verdict: could not run");
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
  }
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(folder);
  }
  return result;
}
