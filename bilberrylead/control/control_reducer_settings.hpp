#ifndef BILBERRYLEAD_CONTROL_CONTROL_REDUCER_SETTINGS_HPP
#define BILBERRYLEAD_CONTROL_CONTROL_REDUCER_SETTINGS_HPP

#include "bilberrylead/agreement/replica_settings.hpp"
#include "bilberrylead/catalog/catalog_settings.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/once/once_settings.hpp"

#include <chrono>
#include <cstdint>

namespace bilberrylead::control
{

/// What a control host's reducer needs to know from its start.
struct control_reducer_settings
{
    /// This host.
    host_id self;
    /// This life of its data folder.
    std::uint64_t incarnation = 1;
    /// Spreads election time-outs; differs by host.
    std::uint64_t seed = 1;
    /// How the log is paced.
    agreement::replica_settings replica;
    /// Bounds of the accepted configurations.
    catalog::catalog_settings catalog;
    /// Bounds of the run-at-most-once records.
    once::once_settings once;
    /// How often the leader moves the log's time on: half of the largest
    /// step that counts, so that a late one loses nothing.
    duration time_step = std::chrono::seconds(5);
};

} // namespace bilberrylead::control

#endif
