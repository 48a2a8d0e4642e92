#ifndef BILBERRYLEAD_LINK_MESSAGES_ADMISSION_ROWS_HPP
#define BILBERRYLEAD_LINK_MESSAGES_ADMISSION_ROWS_HPP

#include "bilberrylead/core/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace bilberrylead::link
{

/// Largest number of ranks in admission_rows.
inline constexpr std::size_t max_admission_ranks = 16;
/// Largest number of customers in admission_rows.
inline constexpr std::size_t max_admission_customers = 32;
/// Largest number of services in a message.
inline constexpr std::size_t max_admission_services = 64;
/// Largest rank.
inline constexpr std::uint32_t max_admission_rank = 1'000'000'000;
/// Largest demand, in thousandths of a slot: a million slots.
inline constexpr std::uint32_t max_admission_demand = 1'000'000'000;

/// Value of one rank.
struct admission_rank
{
    /// Effective rank of the requests; 0 is the most urgent.
    std::uint32_t rank = 0;
    /// In thousandths: demand in slots, or admitted share.
    std::uint32_t amount = 0;

    friend bool operator==(admission_rank const&,
                           admission_rank const&) = default;
};

/// Value of one customer in one rank.
struct admission_customer
{
    /// The customer; empty for requests without one.
    customer_id customer;
    /// Effective rank of the requests; 0 is the most urgent.
    std::uint32_t rank = 0;
    /// In thousandths: demand in slots, or admitted share.
    std::uint32_t amount = 0;

    friend bool operator==(admission_customer const&,
                           admission_customer const&) = default;
};

/// Demand for one service or admitted shares of it, by rank and for the largest
/// customers.
struct admission_rows
{
    /// The service.
    service_id service;
    /// In ascending order.
    std::vector<admission_rank> ranks;
    /// In descending order of their demand.
    std::vector<admission_customer> customers;

    friend bool operator==(admission_rows const&,
                           admission_rows const&) = default;
};

} // namespace bilberrylead::link

#endif
