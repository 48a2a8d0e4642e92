#ifndef BILBERRYLEAD_PERFORMANCE_AGREEMENT_SLOPES_MEMORY_GROUP_HPP
#define BILBERRYLEAD_PERFORMANCE_AGREEMENT_SLOPES_MEMORY_GROUP_HPP

#include "bilberrylead/agreement/replica.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <span>
#include <vector>

namespace bilberrylead::agreement_slopes
{

/// Replicas in one thread whose messages arrive at once and whose disks
/// take no time: what is left is the cost of the reducer.
class memory_group
{
public:
    /// Starts the voters and has the first one elected.
    memory_group(std::size_t voters, std::uint64_t seed);

    /// Hands the leader events and delivers until nothing is under way.
    void give_leader(std::span<agreement::event const> events);

    /// One heartbeat of the leader, with its answers.
    void heartbeat();

    /// Messages to and from the last voter are lost from now on, or not.
    void cut_last(bool lost);

    /// Counts the encoded bytes of every message if asked to; that takes
    /// time, so time and bytes are measured in runs of their own.
    void count_bytes(bool wanted);

    /// Encoded bytes of the messages that were counted.
    std::uint64_t message_bytes() const;

    /// Last index that the last voter committed.
    std::uint64_t last_voter_commit() const;

    /// The leader's commit index.
    std::uint64_t commit() const;

private:
    struct envelope
    {
        std::size_t from = 0;
        std::size_t to = 0;
        agreement::message message;
    };

    void reduce(std::size_t place, std::span<agreement::event const> events);
    void post(std::size_t from, agreement::send& what);
    void deliver_all();

    std::vector<host_id> names;
    std::vector<std::unique_ptr<agreement::replica>> replicas;
    std::deque<envelope> under_way;
    instant now;
    bool last_is_cut = false;
    bool counting = false;
    std::uint64_t counted = 0;
};

} // namespace bilberrylead::agreement_slopes

#endif
