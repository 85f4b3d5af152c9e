#pragma once

#include <optional>
#include <string>
#include <variant>

#include "foxtailbarrow/Contract.h"
#include "foxtailbarrow/Endpoint.h"
#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Job.h"

/// Parsed command lines, one type per subcommand.
namespace foxtailbarrow::ctl {

struct ContractsCheck
{
  std::string mFile;
};

struct ContractsApply
{
  std::string mFile;
  std::optional<Revision> mExpected; ///< 0 = must not exist; no value: any.
};

struct ContractsShow
{
  std::optional<CustomerId> mCustomer; ///< No value: all.
};

struct ContractsRemove
{
  CustomerId mCustomer;
  std::optional<Revision> mExpected;
};

struct JobsSubmit
{
  std::string mFile; ///< Empty: mSpec is submitted.
  JobSpec mSpec;
  std::string mIdempotencyKey; ///< Empty: a random one.
};

struct JobsList
{
  std::string mCustomer; ///< Empty: any.
  std::string mState;    ///< Empty: any.
};

struct JobsExplain
{
  std::string mJob;
};

struct JobsCancel
{
  std::string mJob;
};

struct ServersList
{};

struct WorkersList
{};

struct StateShow
{
  Endpoint mProcess;
};

using Command = std::variant<ContractsCheck,
                             ContractsApply,
                             ContractsShow,
                             ContractsRemove,
                             JobsSubmit,
                             JobsList,
                             JobsExplain,
                             JobsCancel,
                             ServersList,
                             WorkersList,
                             StateShow>;

} // namespace foxtailbarrow::ctl
