#ifndef LIMPETLEVER_TABLE_REQUEST_KIND_H_
#define LIMPETLEVER_TABLE_REQUEST_KIND_H_

namespace limpetlever {

/** Kind of all requests of a workload: idempotent queries, or submissions that run at most once. */
enum class request_kind { query, submission };

}  // namespace limpetlever

#endif  // LIMPETLEVER_TABLE_REQUEST_KIND_H_
