#ifndef FUCHSIAPROXY_ROUTING_INDEX_MAP_HPP
#define FUCHSIAPROXY_ROUTING_INDEX_MAP_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

namespace fuchsiaproxy::routing
{

/// Index that means "none".
constexpr std::uint32_t no_index = 0xffffffffU;

/// Returns `value` with its bits well mixed (the finaliser of SplitMix64).
constexpr std::uint64_t mix(std::uint64_t value) noexcept
{
    value ^= value >> 30U;
    value *= 0xbf58476d1ce4e5b9ULL;
    value ^= value >> 27U;
    value *= 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

/// Hash table from a number to an index, with open addressing. It allocates only when it grows.
class index_map
{
public:
    index_map() : cells_(initial_cells) {}

    std::uint32_t find(std::uint64_t key) const noexcept
    {
        return cells_[locate(key)].index;
    }

    /// Precondition: `index != no_index`.
    void insert(std::uint64_t key, std::uint32_t index)
    {
        if ((size_ + 1) * 2 > cells_.size())
        {
            grow();
        }
        auto& it = cells_[locate(key)];
        size_ += it.index == no_index ? 1 : 0;
        it = {key, index};
    }

    void erase(std::uint64_t key) noexcept
    {
        auto hole = locate(key);
        if (cells_[hole].index == no_index)
        {
            return;
        }
        --size_;
        // Moves the following cells of the probe sequence back, so that no tombstones are needed.
        for (auto next = step(hole); cells_[next].index != no_index; next = step(next))
        {
            auto const wanted = mix(cells_[next].key) & (cells_.size() - 1);
            if (((next - wanted) & (cells_.size() - 1)) >= ((next - hole) & (cells_.size() - 1)))
            {
                cells_[hole] = cells_[next];
                hole = next;
            }
        }
        cells_[hole] = {};
    }

private:
    struct cell
    {
        std::uint64_t key = 0;
        std::uint32_t index = no_index;
    };

    static constexpr std::size_t initial_cells = 4096;

    std::size_t step(std::size_t n) const noexcept
    {
        return (n + 1) & (cells_.size() - 1);
    }

    std::size_t locate(std::uint64_t key) const noexcept
    {
        auto n = mix(key) & (cells_.size() - 1);
        while (cells_[n].index != no_index && cells_[n].key != key)
        {
            n = step(n);
        }
        return n;
    }

    void grow()
    {
        auto const old = cells_;
        cells_.assign(old.size() * 2, {});
        for (auto const& it : old)
        {
            if (it.index != no_index)
            {
                cells_[locate(it.key)] = it;
            }
        }
    }

    std::vector<cell> cells_;
    std::size_t size_ = 0;
};

} // namespace fuchsiaproxy::routing

#endif
