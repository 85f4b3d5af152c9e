#include "foxtailbarrow/Verdict.h"

#include "absl/strings/cord.h"

#include "src/core/base/EnumText.h"

namespace foxtailbarrow {

namespace {

constexpr char kPayloadUrl[] = "foxtailbarrow/verdict";

constexpr EnumText<Verdict, 3> kTexts({
  { Verdict::NotRun, "not-run" },
  { Verdict::MayHaveRun, "may-have-run" },
  { Verdict::Ran, "ran" },
});

} // namespace

std::string_view ToString(Verdict aVerdict)
{
  return kTexts.Text(aVerdict);
}

std::optional<Verdict> ParseVerdict(std::string_view aText)
{
  return kTexts.Parse(aText);
}

absl::Status WithVerdict(absl::Status aStatus, Verdict aVerdict)
{
  const std::string_view text = ToString(aVerdict);
  aStatus.SetPayload(kPayloadUrl,
                     absl::Cord(absl::string_view(text.data(), text.size())));
  return aStatus;
}

Verdict VerdictOf(const absl::Status& aStatus)
{
  if (aStatus.ok()) {
    return Verdict::Ran;
  }
  if (const auto payload = aStatus.GetPayload(kPayloadUrl)) {
    return ParseVerdict(std::string(*payload)).value_or(Verdict::MayHaveRun);
  }
  return Verdict::MayHaveRun;
}

} // namespace foxtailbarrow
