#pragma once

#include <functional>
#include <string>

#include "absl/status/statusor.h"

#include "apps/ctl/CommandResult.h"
#include "foxtailbarrow/Job.h"
#include "src/net/HttpMessage.h"

/// The subcommands of `jobs`, through an entry's HTTP interface.
namespace foxtailbarrow::ctl {

/// Sends a request to an entry; see EntryCaller::Call().
using CallEntry =
  std::function<absl::StatusOr<net::HttpResponse>(const net::HttpRequest&,
                                                  bool)>;

/// `aBody`: JSON of a JobSpec without its id. The key makes the submission
/// safe to repeat, since the same key identifies the same job.
CommandResult SubmitJob(const CallEntry& aCall,
                        const std::string& aBody,
                        const std::string& aIdempotencyKey);

/// The body for SubmitJob() from a spec whose id is not set.
std::string SubmissionBody(const JobSpec& aSpec);

/// Empty customer or state: any.
CommandResult ListJobs(const CallEntry& aCall,
                       const std::string& aCustomer,
                       const std::string& aState);

CommandResult ExplainJob(const CallEntry& aCall, const std::string& aJob);

CommandResult CancelJob(const CallEntry& aCall, const std::string& aJob);

} // namespace foxtailbarrow::ctl
