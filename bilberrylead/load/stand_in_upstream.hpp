#ifndef BILBERRYLEAD_LOAD_STAND_IN_UPSTREAM_HPP
#define BILBERRYLEAD_LOAD_STAND_IN_UPSTREAM_HPP

#include "bilberrylead/load/upstream_model.hpp"

#include <cstdint>
#include <deque>
#include <memory>
#include <set>
#include <string>

namespace bilberrylead::load
{

class stand_in_connection;

/// The request an answer belongs to, as far as the answer shows it.
struct answered_request
{
    /// The caller's request id.
    std::string caller_request;
    /// The entry host's request id.
    std::string request_id;
};

/// One upstream of a stand_in_server: its model and who is connected.
/// Used from the server's thread only.
struct stand_in_upstream
{
    /// Slots, lots and counts.
    upstream_model model;
    /// Its port, once it listens.
    std::uint16_t port = 0;
    /// Open connections; each takes itself out when it ends.
    std::set<stand_in_connection*> connections;
    /// Connections whose request waits for a slot, first come first.
    std::deque<stand_in_connection*> waiters;
    /// The last request that was answered, for swapped answers.
    answered_request last_answered;

    /// Gives a slot back and wakes the first who waits.
    void release_slot(instant now);
    /// Makes every open connection go silent for good; new ones work.
    void silence();
};

} // namespace bilberrylead::load

#endif
