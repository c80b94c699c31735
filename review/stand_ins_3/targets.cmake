# Stand-ins of the cases 9 to 13. Built by review/build-3.sh only, without the
# project's tests and what these need.
set(folder "${CMAKE_SOURCE_DIR}/review/stand_ins_3")
set(support "${CMAKE_SOURCE_DIR}/Tests/Support")
add_library(review_stand_ins_3 STATIC "${folder}/executor.cc"
  "${folder}/small_deployment.cc" "${folder}/store.cc" "${folder}/starvation.cc"
  "${support}/fault_proxy.cc" "${support}/free_port.cc"
  "${support}/shared_rate.cc" "${support}/zmtp_identity.cc")
target_include_directories(review_stand_ins_3 PUBLIC "${CMAKE_SOURCE_DIR}")
target_link_libraries(review_stand_ins_3 PUBLIC rhubarbhaven_transport
  rhubarbhaven_base nlohmann_json::nlohmann_json)
target_compile_options(review_stand_ins_3 PRIVATE -Wall -Wextra -Werror)

foreach(program deadly_task overload failing_tasks large_config)
  add_executable(review_${program} "${folder}/${program}.cc")
  target_link_libraries(review_${program} PRIVATE review_stand_ins_3)
  target_compile_options(review_${program} PRIVATE -Wall -Wextra -Werror)
endforeach()
add_custom_target(review_cases_3 DEPENDS review_deadly_task review_overload
  review_failing_tasks review_large_config)
