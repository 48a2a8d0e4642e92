#ifndef BILBERRYLEAD_DISTRIBUTION_EXCHANGE_SETTINGS_HPP
#define BILBERRYLEAD_DISTRIBUTION_EXCHANGE_SETTINGS_HPP

#include "bilberrylead/core/time.hpp"

#include <chrono>

namespace bilberrylead::distribution
{

/// How a process hears of new revisions, and passes them on.
struct exchange_settings
{
    /// True where revisions are made (control hosts): such a process takes
    /// none from others, since its own log is what counts.
    bool is_source = false;
    /// How long an announced revision may be missing before it is fetched
    /// from whoever announced it. Pushing over the chosen link takes a round
    /// trip between regions (70 ms) and the transfer; shorter would fetch
    /// what is on its way already, longer would eat the seconds in which a
    /// change has to be in force everywhere.
    duration fetch_after = std::chrono::milliseconds(300);
    /// How often subscriptions are sent again: a lost one would leave its
    /// sender without news until the link ends.
    duration refresh_interval = std::chrono::seconds(2);
};

} // namespace bilberrylead::distribution

#endif
