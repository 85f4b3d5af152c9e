#include "src/core/contract/ContractDocument.h"

#include <algorithm>
#include <iterator>

#include "src/core/contract/ContractLimits.h"
#include "src/core/message/Json.h"
#include "src/core/message/detail/ContractFields.h"

namespace foxtailbarrow {

namespace detail {

namespace {

/// A contract as written by an operator, without the store's revision.
struct ContractDocument
{
  Contract mContract;
};

template<typename Visitor, Is<ContractDocument> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  DocumentFields(aVisitor, aMessage.mContract);
}

} // namespace

} // namespace detail

namespace {

Json::Value ToDocument(const Contract& aContract)
{
  return detail::ObjectWriter::Write(detail::ContractDocument{ aContract });
}

Contract ReadDocument(const Json::Value& aValue, FieldProblems& aProblems)
{
  detail::ContractDocument document;
  detail::ObjectReader::ReadRoot(aValue, document, aProblems);
  return document.mContract;
}

/// Checks combinations of fields; a problem names the field to change.
FieldProblems CheckFieldCombinations(const Contract& aContract)
{
  FieldProblems problems;
  const bool takesRequests = aContract.mRequestsPerSecond > 0;
  if (takesRequests && aContract.mBurst < 1) {
    problems.push_back({ "burst",
                         std::to_string(aContract.mBurst),
                         "at least 1 where requestsPerSecond is above 0" });
  }
  if (takesRequests && aContract.mMaxConcurrency < 1) {
    problems.push_back({ "maxConcurrency",
                         std::to_string(aContract.mMaxConcurrency),
                         "at least 1 where requestsPerSecond is above 0" });
  }
  const BatchLimits& batch = aContract.mBatch;
  if (batch.mMaxRunningJobs > 0 && batch.mTotal.mMillicores < 1) {
    problems.push_back({ "batch.total.millicores",
                         std::to_string(batch.mTotal.mMillicores),
                         "at least 1 where batch.maxRunningJobs is above 0" });
  }
  return problems;
}

bool HasProblem(const FieldProblems& aProblems, const std::string& aField)
{
  return std::any_of(
    aProblems.begin(), aProblems.end(), [&](const FieldProblem& aProblem) {
      return aProblem.mField == aField;
    });
}

/// Adds the problems of fields that have none yet: a field that could not be
/// parsed has its default value, which must not be reported too.
void AddMissing(FieldProblems aNew, FieldProblems& aProblems)
{
  for (FieldProblem& problem : aNew) {
    if (!HasProblem(aProblems, problem.mField)) {
      aProblems.push_back(std::move(problem));
    }
  }
}

} // namespace

FieldProblems CheckContract(const Contract& aContract)
{
  FieldProblems problems;
  ReadDocument(ToDocument(aContract), problems);
  AddMissing(CheckFieldCombinations(aContract), problems);
  return problems;
}

absl::StatusOr<Contract> ParseContract(std::string_view aJson)
{
  const absl::StatusOr<Json::Value> value =
    ParseJson(aJson, { kMaxContractBytes });
  if (!value.ok()) {
    return value.status();
  }
  FieldProblems problems;
  Contract contract = ReadDocument(*value, problems);
  AddMissing(CheckFieldCombinations(contract), problems);
  if (!problems.empty()) {
    return ToStatus(problems);
  }
  return contract;
}

std::string FormatContract(const Contract& aContract)
{
  return FormatJsonIndented(ToDocument(aContract));
}

} // namespace foxtailbarrow
