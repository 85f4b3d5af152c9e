#include "src/core/cell/Interference.h"

#include <algorithm>
#include <cmath>

namespace foxtailbarrow::cell {

Interference::Interference(InterferenceSettings aSettings)
  : mSettings(aSettings)
{
}

Interference::ServingImage& Interference::Entry(const std::string& aServing)
{
  const auto [entry, added] = mServing.try_emplace(aServing);
  if (added) {
    entry->second.mCalm = { std::log(mSettings.mCalmShare),
                            mSettings.mCalmVariance };
  }
  return entry->second;
}

Interference::Estimate& Interference::PairOf(ServingImage& aServing,
                                             const std::string& aLeftover)
{
  return aServing.mPerCore
    .try_emplace(aLeftover,
                 Estimate{ mSettings.mPriorPerCore, mSettings.mPriorVariance })
    .first->second;
}

void Interference::Observe(const std::string& aServing,
                           double aLogLatency,
                           std::span<const ImageLoad> aBeside)
{
  ServingImage& serving = Entry(aServing);
  double predicted = serving.mCalm.mValue;
  double variance = mSettings.mNoise + serving.mCalm.mVariance;
  for (const auto& [image, cores] : aBeside) {
    const Estimate& pair = PairOf(serving, image);
    predicted += pair.mValue * cores;
    variance += pair.mVariance * cores * cores;
  }
  const double error = std::clamp(
    aLogLatency - predicted, -mSettings.mMaxError, mSettings.mMaxError);
  const auto correct = [&](Estimate& aEstimate, double aFactor) {
    const double gain = aEstimate.mVariance * aFactor / variance;
    aEstimate.mValue += gain * error;
    aEstimate.mVariance *= 1.0 - gain * aFactor;
    aEstimate.mVariance += mSettings.mDrift;
  };
  correct(serving.mCalm, 1.0);
  for (const auto& [image, cores] : aBeside) {
    Estimate& pair = PairOf(serving, image);
    correct(pair, cores);
    pair.mValue = std::max(0.0, pair.mValue);
  }
}

double Interference::PerCore(const std::string& aServing,
                             const std::string& aLeftover) const
{
  const auto serving = mServing.find(aServing);
  if (serving == mServing.end()) {
    return mSettings.mPriorPerCore;
  }
  const auto pair = serving->second.mPerCore.find(aLeftover);
  return pair == serving->second.mPerCore.end() ? mSettings.mPriorPerCore
                                                : pair->second.mValue;
}

std::vector<Pressure> Interference::Known() const
{
  std::vector<Pressure> known;
  for (const auto& [serving, entry] : mServing) {
    for (const auto& [leftover, pair] : entry.mPerCore) {
      known.push_back({ serving, leftover, pair.mValue });
    }
  }
  return known;
}

double Interference::Budget(const std::string& aServing, double aShare) const
{
  const auto serving = mServing.find(aServing);
  const double calm = serving == mServing.end() ? std::log(mSettings.mCalmShare)
                                                : serving->second.mCalm.mValue;
  return std::log(aShare) - calm;
}

} // namespace foxtailbarrow::cell
