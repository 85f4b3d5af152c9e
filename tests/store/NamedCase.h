#pragma once

#include <ostream>
#include <string>

namespace foxtailbarrow {
namespace {

/// Prints a row of a table by its name, so that no test's name holds bytes of
/// memory, which differ from run to run. Found by GoogleTest in the unnamed
/// namespace of the test's own file.
template<typename Case>
requires requires(const Case& aCase)
{
  aCase.mName;
}
void PrintTo(const Case& aCase, std::ostream* aOut)
{
  *aOut << aCase.mName;
}

/// Names the tests of a table after its rows.
[[maybe_unused]] constexpr auto kNameOfCase = [](const auto& aInfo) {
  return std::string(aInfo.param.mName);
};

} // namespace
} // namespace foxtailbarrow
