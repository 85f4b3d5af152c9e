#pragma once

#include <ostream>
#include <string>

namespace foxtailbarrow {
namespace {

/// Prints a test parameter by its name. GoogleTest would otherwise put the
/// bytes of the object, which vary between runs, into the test's name.
/// GoogleTest finds this function in the unnamed namespace of the test's file.
template<typename Case>
requires requires(const Case& aCase)
{
  aCase.mName;
}
void PrintTo(const Case& aCase, std::ostream* aOut)
{
  *aOut << aCase.mName;
}

/// Names parameterised tests after their parameters.
[[maybe_unused]] constexpr auto kNameOfCase = [](const auto& aInfo) {
  return std::string(aInfo.param.mName);
};

} // namespace
} // namespace foxtailbarrow
