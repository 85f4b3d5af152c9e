#include "src/core/cell/throttling/InterferenceEstimator.h"

#include <algorithm>
#include <cmath>

namespace foxtailbarrow::cell {

namespace {

/// The filter of a job that was not observed for this long is discarded.
constexpr Duration kForgetLoad = std::chrono::seconds(10);

} // namespace

InterferenceEstimator::InterferenceEstimator(InterferenceSettings aSettings)
  : mSettings(aSettings)
{
}

InterferenceEstimator::ServingImage& InterferenceEstimator::Entry(
  const std::string& aServing)
{
  const auto [entry, added] = mServing.try_emplace(aServing);
  if (added) {
    entry->second.mBaseline = { std::log(mSettings.mBaselineShare),
                                mSettings.mBaselineVariance };
  }
  return entry->second;
}

InterferenceEstimator::Estimate& InterferenceEstimator::PairOf(
  ServingImage& aServing,
  const std::string& aBestEffort)
{
  return aServing.mPerCore
    .try_emplace(aBestEffort,
                 Estimate{ mSettings.mPriorPerCore, mSettings.mPriorVariance })
    .first->second;
}

/// The load filter of the job, predicted to `aNow`.
LoadFilter& InterferenceEstimator::LoadOf(const JobId& aJob,
                                          const ServingImage& aImage,
                                          Instant aNow)
{
  if (!mLoads.contains(aJob)) {
    std::erase_if(mLoads, [&](const auto& aOther) {
      return aNow - aOther.second.PredictedAt() > kForgetLoad;
    });
  }
  LoadFilter& load =
    mLoads
      .try_emplace(aJob,
                   aImage.mBaseline.mValue,
                   aImage.mBaseline.mVariance + mSettings.mLoadVariance,
                   aNow,
                   mSettings.mLoadFilter)
      .first->second;
  load.Predict(aNow);
  return load;
}

void InterferenceEstimator::Observe(const JobId& aJob,
                                    const std::string& aServing,
                                    double aLogLatency,
                                    std::span<const ImageLoad> aColocated,
                                    Instant aNow)
{
  ServingImage& serving = Entry(aServing);
  LoadFilter& load = LoadOf(aJob, serving, aNow);
  double predicted = load.Level();
  double variance = mSettings.mNoise + load.Variance();
  for (const auto& [image, cores] : aColocated) {
    const Estimate& pair = PairOf(serving, image);
    predicted += pair.mValue * cores;
    variance += pair.mVariance * cores * cores;
  }
  const double error = std::clamp(
    aLogLatency - predicted, -mSettings.mMaxError, mSettings.mMaxError);
  const auto correct =
    [&](Estimate& aEstimate, double aFactor, double aError, double aTotal) {
      const double gain = aEstimate.mVariance * aFactor / aTotal;
      aEstimate.mValue += gain * aError;
      aEstimate.mVariance *= 1.0 - gain * aFactor;
      aEstimate.mVariance += mSettings.mDrift;
    };
  load.Correct(error, variance - load.Variance());
  correct(serving.mBaseline,
          1.0,
          load.Level() - serving.mBaseline.mValue,
          mSettings.mLoadVariance + serving.mBaseline.mVariance);
  for (const auto& [image, cores] : aColocated) {
    Estimate& pair = PairOf(serving, image);
    correct(pair, cores, error, variance);
    pair.mValue = std::max(0.0, pair.mValue);
  }
}

double InterferenceEstimator::PerCore(const std::string& aServing,
                                      const std::string& aBestEffort) const
{
  const auto serving = mServing.find(aServing);
  if (serving == mServing.end()) {
    return mSettings.mPriorPerCore;
  }
  const auto pair = serving->second.mPerCore.find(aBestEffort);
  return pair == serving->second.mPerCore.end() ? mSettings.mPriorPerCore
                                                : pair->second.mValue;
}

std::vector<BaselineLatency> InterferenceEstimator::Baselines() const
{
  std::vector<BaselineLatency> baselines;
  for (const auto& [image, entry] : mServing) {
    baselines.push_back({ image, std::exp(entry.mBaseline.mValue) });
  }
  return baselines;
}

std::vector<InterferenceWeight> InterferenceEstimator::Known() const
{
  std::vector<InterferenceWeight> known;
  for (const auto& [serving, entry] : mServing) {
    for (const auto& [bestEffort, pair] : entry.mPerCore) {
      known.push_back({ serving, bestEffort, pair.mValue });
    }
  }
  return known;
}

LearnedInterference InterferenceEstimator::WellKnown(
  std::size_t aMaxPairs) const
{
  const double share = mSettings.mSavedVarianceShare;
  LearnedInterference learned;
  for (const auto& [image, entry] : mServing) {
    if (learned.mPairs.size() + entry.mPerCore.size() > aMaxPairs) {
      break;
    }
    if (entry.mBaseline.mVariance <= share * mSettings.mBaselineVariance) {
      learned.mBaseline.push_back({ image, std::exp(entry.mBaseline.mValue) });
    }
    for (const auto& [bestEffort, pair] : entry.mPerCore) {
      if (pair.mVariance <= share * mSettings.mPriorVariance) {
        learned.mPairs.push_back({ image, bestEffort, pair.mValue });
      }
    }
  }
  return learned;
}

void InterferenceEstimator::Adopt(const LearnedInterference& aLearned)
{
  const double share = mSettings.mSavedVarianceShare;
  for (const auto& [image, baseline] : aLearned.mBaseline) {
    if (!mServing.contains(image) && baseline > 0) {
      Entry(image).mBaseline = { std::log(baseline),
                                 share * mSettings.mBaselineVariance };
    }
  }
  for (const auto& [image, bestEffort, perCore] : aLearned.mPairs) {
    Entry(image).mPerCore.try_emplace(
      bestEffort, Estimate{ perCore, share * mSettings.mPriorVariance });
  }
}

double InterferenceEstimator::Budget(const JobId& aJob,
                                     const std::string& aServing,
                                     double aShare,
                                     Instant aNow) const
{
  const double budget = std::log(aShare);
  if (const auto load = mLoads.find(aJob); load != mLoads.end()) {
    return budget - std::max(load->second.LevelAt(aNow),
                             load->second.LevelAt(aNow + mSettings.mForecast));
  }
  // Not observed yet: the load may be anywhere in its swing.
  const auto serving = mServing.find(aServing);
  const double baseline = serving == mServing.end()
                            ? std::log(mSettings.mBaselineShare)
                            : serving->second.mBaseline.mValue;
  return budget - baseline - std::sqrt(mSettings.mLoadVariance);
}

} // namespace foxtailbarrow::cell
