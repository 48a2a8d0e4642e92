#include "bilberrylead/load/latency_plot.hpp"

#include "bilberrylead/load/percentiles.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <string_view>
#include <vector>

namespace bilberrylead::load
{

namespace
{

constexpr std::size_t slice_count = 100;
constexpr double width = 900;
constexpr double height = 400;
constexpr double left = 70;
constexpr double right = 20;
constexpr double top = 30;
constexpr double bottom = 40;
/// Powers of ten of a millisecond: 0.1 ms to 100 s.
constexpr double lowest_power = -1;
constexpr double highest_power = 5;

using slice_list = std::array<std::vector<duration>, slice_count>;

slice_list slices_of(std::span<latency_sample const> samples, duration length)
{
    slice_list slices;
    for (latency_sample const& each : samples)
    {
        std::size_t const index = static_cast<std::size_t>(
            slice_count * each.start.count() /
            std::max<duration::rep>(length.count(), 1));
        slices.at(std::min(index, slice_count - 1)).push_back(each.latency);
    }
    for (std::vector<duration>& each : slices)
    {
        std::sort(each.begin(), each.end());
    }
    return slices;
}

double x_of(std::size_t slice)
{
    return left + (width - left - right) * (static_cast<double>(slice) + 0.5) /
                      static_cast<double>(slice_count);
}

double y_of(double milliseconds)
{
    double const power = std::clamp(std::log10(std::max(milliseconds, 1e-6)),
                                    lowest_power, highest_power);
    double const share =
        (power - lowest_power) / (highest_power - lowest_power);
    return height - bottom - share * (height - top - bottom);
}

std::string curve(slice_list const& slices, double share,
                  std::string_view colour)
{
    std::string path;
    bool drawing = false;
    for (std::size_t index = 0; index < slices.size(); ++index)
    {
        if (slices.at(index).empty())
        {
            drawing = false;
            continue;
        }
        std::chrono::duration<double, std::milli> const value =
            percentile(slices.at(index), share);
        path += fmt::format("{}{:.1f} {:.1f} ", drawing ? "L" : "M",
                            x_of(index), y_of(value.count()));
        drawing = true;
    }
    return fmt::format("<path d=\"{}\" fill=\"none\" stroke=\"{}\" "
                       "stroke-width=\"1.5\"/>\n",
                       path, colour);
}

std::string grid(duration length)
{
    std::string text;
    for (double power = lowest_power; power <= highest_power; ++power)
    {
        double const y = y_of(std::pow(10, power));
        text += fmt::format("<line x1=\"{}\" y1=\"{:.1f}\" x2=\"{}\" "
                            "y2=\"{:.1f}\" stroke=\"#ddd\"/>\n"
                            "<text x=\"{}\" y=\"{:.1f}\" "
                            "text-anchor=\"end\">{:g} ms</text>\n",
                            left, y, width - right, y, left - 6, y + 4,
                            std::pow(10, power));
    }
    std::chrono::duration<double> const seconds = length;
    text += fmt::format("<text x=\"{}\" y=\"{}\">0 s</text>\n"
                        "<text x=\"{}\" y=\"{}\" text-anchor=\"end\">"
                        "{:.0f} s</text>\n",
                        left, height - 14, width - right, height - 14,
                        seconds.count());
    return text;
}

} // namespace

std::string draw_latency(std::span<latency_sample const> samples,
                         duration length)
{
    slice_list const slices = slices_of(samples, length);
    return fmt::format(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {} {}\" "
        "font-family=\"sans-serif\" font-size=\"12\">\n"
        "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n{}{}{}"
        "<text x=\"{}\" y=\"18\">Latency over time: median (blue), "
        "99th percentile (red)</text>\n</svg>\n",
        width, height, grid(length), curve(slices, 0.5, "#1f5fbf"),
        curve(slices, 0.99, "#bf2f1f"), left);
}

} // namespace bilberrylead::load
