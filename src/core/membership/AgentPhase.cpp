#include "src/core/membership/AgentPhase.h"

#include "src/core/base/EnumText.h"

namespace foxtailbarrow {

namespace {

constexpr EnumText<AgentPhase, 5> kTexts({
  { AgentPhase::Starting, "starting" },
  { AgentPhase::Serving, "serving" },
  { AgentPhase::Suspect, "suspect" },
  { AgentPhase::Draining, "draining" },
  { AgentPhase::Gone, "gone" },
});

} // namespace

std::string_view ToString(AgentPhase aPhase)
{
  return kTexts.Text(aPhase);
}

} // namespace foxtailbarrow
