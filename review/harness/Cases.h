#pragma once

#include "Deployment.h"
#include "Runs.h"

/// The cases that are scripts. Each returns 1 if the rule was broken, 0 if it
/// held, 2 if the case couldn't run.
namespace review {

inline constexpr unsigned kManyEndsRunners = 3;
int ManyEnds(Deployment& aDeployment,
             Runs& aRuns,
             Record& aRecord,
             bool aTrouble);

inline constexpr unsigned kLargeOrdersRunners = 2;
int LargeOrders(Deployment& aDeployment,
                Runs& aRuns,
                Record& aRecord,
                bool aTrouble);

inline constexpr unsigned kManyJobsRunners = 3;
int ManyJobs(Deployment& aDeployment,
             Runs& aRuns,
             Record& aRecord,
             bool aTrouble);

} // namespace review
