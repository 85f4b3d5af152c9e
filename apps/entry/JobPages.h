#pragma once

#include <functional>
#include <optional>
#include <string_view>

#include "absl/random/random.h"

#include "apps/entry/ControlContext.h"
#include "apps/entry/JobChangeNotifier.h"
#include "apps/entry/JobDriver.h"
#include "apps/entry/JobWriter.h"
#include "apps/entry/OwnershipDriver.h"
#include "src/net/HttpMessage.h"

namespace foxtailbarrow::entry {

/// The callers' HTTP interface for jobs, below /foxtailbarrow/v1/jobs: submit,
/// show, explain, list, cancel. Runs on the control thread.
class JobPages
{
public:
  /// True if a contract of the customer is in force.
  using HasContract = std::function<bool(const CustomerId&)>;

  JobPages(ControlContext& aContext,
           const OwnershipDriver& aOwnership,
           JobDriver& aJobs,
           std::uint32_t aShards,
           HasContract aHasContract);

  /// Registers `entry.jobChanged`, `entry.explainJob` and `entry.listJobs`.
  void AddMethods(net::RpcDispatcher& aDispatcher);

  /// True for targets that Answer() serves.
  static bool Serves(std::string_view aTarget);

  net::HttpResponse Answer(const net::HttpRequest& aRequest);

private:
  net::HttpResponse Submit(const net::HttpRequest& aRequest);
  net::HttpResponse Show(const JobId& aJob);
  net::HttpResponse Explain(const JobId& aJob);
  net::HttpResponse List(std::string_view aQuery);
  net::HttpResponse Cancel(const JobId& aJob);

  ShardId ShardOfJob(const JobId& aJob) const;
  void NotifyOwner(const JobId& aJob);
  std::optional<Endpoint> OwnerOf(ShardId aShard) const;
  Json::Value ExplainLocally(const JobId& aJob) const;
  Json::Value ListLocally() const;

  ControlContext& mContext;
  const OwnershipDriver& mOwnership;
  JobDriver& mJobs;
  std::uint32_t mShards;
  HasContract mHasContract;
  JobWriter mWriter;
  JobChangeNotifier mNotifier;
  absl::BitGen mRandom;
};

} // namespace foxtailbarrow::entry
