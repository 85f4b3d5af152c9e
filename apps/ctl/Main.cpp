#include <iostream>

#include "apps/ctl/CommandRunner.h"
#include "apps/ctl/CtlSettings.h"
#include "src/core/message/Json.h"
#include "src/net/FiberRuntime.h"

using namespace foxtailbarrow;

namespace {

int Print(const ctl::CommandResult& aResult, bool aJson)
{
  if (aJson) {
    std::cout << FormatJsonIndented(aResult.mJson) << "\n";
  } else if (aResult.mExitCode == ctl::kExitOk) {
    std::cout << aResult.mText;
  }
  if (aResult.mExitCode != ctl::kExitOk) {
    std::cerr << "foxtailbarrow-ctl: " << aResult.mText << "\n";
  }
  return aResult.mExitCode;
}

} // namespace

int main(int argc, char** argv)
{
  const auto settings =
    ctl::ParseCtlSettings({ argv + 1, argv + argc }, std::cout, std::cerr);
  if (const int* exitCode = std::get_if<int>(&settings)) {
    return *exitCode;
  }
  const auto& values = std::get<ctl::CtlSettings>(settings);
  net::FiberRuntime runtime(1);
  ctl::CommandResult result;
  runtime.RunAndWait([&] { result = ctl::RunCommand(runtime, values); });
  return Print(result, values.mJson);
}
