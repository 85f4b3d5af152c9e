target_link_libraries(clients-tests PRIVATE ftb_soak)
target_compile_definitions(clients-tests
                           PRIVATE PROGRAMS_FOLDER="${CMAKE_BINARY_DIR}")
add_dependencies(
  clients-tests
  foxtailbarrow-scheduler
  foxtailbarrow-taskagent
  foxtailbarrow-entry
  foxtailbarrow-agent
  foxtailbarrow-standin-taskworker
  foxtailbarrow-standin-store
  foxtailbarrow-standin-worker
  foxtailbarrow-standin-backend)
# They measure the memory of processes, apart from other load.
set(TEST_PROPERTIES RUN_SERIAL TRUE)
