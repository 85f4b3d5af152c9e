#pragma once

#include <iosfwd>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "apps/ctl/Command.h"
#include "foxtailbarrow/Endpoint.h"
#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::ctl {

/// Validated settings of foxtailbarrow-ctl.
struct CtlSettings
{
  Command mCommand;
  std::vector<Endpoint> mStore;   ///< Set for `contracts`.
  std::vector<Endpoint> mEntries; ///< Set for `jobs`, `servers`, `workers`.
  Duration mTimeout = std::chrono::seconds(5);
  bool mJson = false;
};

/// Returns the settings, or an exit code if the program must exit now.
std::variant<CtlSettings, int> ParseCtlSettings(
  std::vector<std::string> aArguments,
  std::ostream& aOut,
  std::ostream& aErr);

} // namespace foxtailbarrow::ctl
